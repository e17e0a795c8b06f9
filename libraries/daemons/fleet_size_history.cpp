#include <daemons/fleet_size_history.hpp>

namespace daemons {

void fleet_size_history::note(std::size_t daemons, base::clock::time_point now) {
    while (!samples_.empty() && samples_.back().daemons_ <= daemons) {
        samples_.pop_back();
    }
    samples_.push_back({daemons, now});
    while (samples_.size() > 1 && now - samples_.front().last_seen_ > retention) {
        samples_.pop_front();
    }
}

std::size_t fleet_size_history::greatest(base::clock::time_point now) const noexcept {
    for (const auto& known : samples_) {
        if (now - known.last_seen_ <= retention) {
            return known.daemons_;
        }
    }
    // Without newer reads of the store the last number stays in force.
    return samples_.empty() ? 0 : samples_.back().daemons_;
}

} // namespace daemons
