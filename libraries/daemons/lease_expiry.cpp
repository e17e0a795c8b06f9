#include <daemons/lease_expiry.hpp>

#include <algorithm>

namespace daemons {

base::clock::time_point latest_lease_expiry(const takeover_times& times,
                                            const primary_lease_limits& limits) noexcept {
    auto known_since = times.acquired_at_;
    if (times.candidate_since_) {
        known_since = std::min(known_since, std::max(times.registered_at_, *times.candidate_since_));
    }
    return std::max(times.recorded_at_, known_since + limits.peer_rounds_valid_for_) + limits.valid_for_;
}

} // namespace daemons
