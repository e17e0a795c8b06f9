#include <daemons/reconnect_backoff.hpp>

#include <algorithm>

namespace daemons {

reconnect_backoff reconnect_backoff::after_failure(const peer_limits& limits, base::clock::time_point now,
                                                   std::uint64_t entropy) const noexcept {
    reconnect_backoff next;
    next.pause_ = std::min(std::max(2 * pause_, limits.first_reconnect_), limits.longest_reconnect_);
    const auto half = static_cast<std::uint64_t>(std::max<std::int64_t>(next.pause_.count() / 2, 1));
    next.next_ = now + next.pause_ - base::clock::duration{static_cast<std::int64_t>(entropy % half)};
    return next;
}

} // namespace daemons
