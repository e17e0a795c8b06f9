#include <backends/position_history.hpp>

#include <algorithm>

namespace backends {

namespace {

// Bounds the memory of the history; the position required of a read is older than necessary by at most this
// much.
constexpr base::clock::duration sample_interval{25};
// No route allows older reads; a longer staleness bound is treated as this one.
constexpr base::clock::duration max_staleness{10'000};

} // namespace

void position_history::note(const reported_position& reported) {
    const auto& [position, requested_at] = reported;
    if (!samples_.empty()) {
        const auto& newest = samples_.back();
        if (position.term() > newest.position_.term()) {
            samples_.clear();
        } else if (position.term() < newest.position_.term() ||
                   requested_at < newest.requested_at_ + sample_interval) {
            return;
        }
    }
    samples_.push_back(reported);
    while (samples_.size() > 1 && samples_.front().requested_at_ + max_staleness < requested_at) {
        samples_.pop_front();
    }
}

std::optional<base::log_position> position_history::oldest_within(base::clock::duration staleness,
                                                                  base::clock::time_point now) const {
    const auto oldest = now - std::min(staleness, max_staleness);
    const auto found = std::find_if(samples_.begin(), samples_.end(), [oldest](const reported_position& one) {
        return one.requested_at_ >= oldest;
    });
    return found == samples_.end() ? std::nullopt : std::optional{found->position_};
}

std::optional<base::log_position> position_history::newest() const {
    return samples_.empty() ? std::nullopt : std::optional{samples_.back().position_};
}

std::optional<base::log_position>
position_history::required_position(base::clock::duration staleness,
                                    std::optional<base::log_position> session_position,
                                    base::clock::time_point now) const {
    const auto within_bound = oldest_within(staleness, now);
    if (!within_bound || !session_position || session_position->term() < within_bound->term()) {
        return within_bound;
    }
    if (session_position->term() > within_bound->term()) {
        return std::nullopt;
    }
    return std::max(*within_bound, *session_position);
}

} // namespace backends
