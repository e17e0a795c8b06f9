#include <daemons/reconnect_backoff.hpp>

#include <algorithm>

namespace daemons {

reconnect_backoff reconnect_backoff::after_failure(const peer_limits& limits, base::clock::time_point now,
                                                   std::uint64_t entropy) const noexcept {
    reconnect_backoff next;
    next.delay_ =
        std::min(std::max(2 * delay_, limits.initial_reconnect_delay_), limits.max_reconnect_delay_);
    const auto half = static_cast<std::uint64_t>(std::max<std::int64_t>(next.delay_.count() / 2, 1));
    next.next_attempt_ = now + next.delay_ - base::clock::duration{static_cast<std::int64_t>(entropy % half)};
    return next;
}

} // namespace daemons
