#include <backends/position_history.hpp>

#include <algorithm>

namespace backends {

namespace {

// Bounds the memory of the history; a read's position is older than need be by at most this much.
constexpr base::clock::duration spacing{25};
// No route allows older reads today; longer staleness is served as if it were this.
constexpr base::clock::duration longest_staleness{10'000};

} // namespace

void position_history::note(base::log_position position, base::clock::time_point requested_at) {
    if (!samples_.empty()) {
        const auto& newest = samples_.back();
        if (position.term() > newest.position_.term()) {
            samples_.clear();
        } else if (position.term() < newest.position_.term() ||
                   requested_at < newest.requested_at_ + spacing) {
            return;
        }
    }
    samples_.push_back({requested_at, position});
    while (samples_.size() > 1 && samples_.front().requested_at_ + longest_staleness < requested_at) {
        samples_.pop_front();
    }
}

std::optional<base::log_position> position_history::oldest_within(base::clock::duration staleness,
                                                                  base::clock::time_point now) const {
    const auto oldest = now - std::min(staleness, longest_staleness);
    const auto found = std::find_if(samples_.begin(), samples_.end(),
                                    [oldest](const sample& one) { return one.requested_at_ >= oldest; });
    return found == samples_.end() ? std::nullopt : std::optional{found->position_};
}

std::optional<base::log_position> position_history::required_position(base::clock::duration staleness,
                                                                      std::optional<base::log_position> own,
                                                                      base::clock::time_point now) const {
    const auto fresh = oldest_within(staleness, now);
    if (!fresh || !own || own->term() < fresh->term()) {
        return fresh;
    }
    if (own->term() > fresh->term()) {
        return std::nullopt;
    }
    return std::max(*fresh, *own);
}

} // namespace backends
