#include <daemons/connection_health.hpp>

#include <algorithm>

namespace daemons {

health_decision decide_health(const connection_activity& activity, const peer_limits& limits,
                              base::clock::time_point now) {
    if (activity.heartbeat_sent_) {
        const auto heartbeat_deadline = *activity.heartbeat_sent_ + limits.heartbeat_timeout_;
        return {now >= heartbeat_deadline ? health_action::close_silent : health_action::none,
                heartbeat_deadline};
    }
    const bool busy = activity.pending_requests_ > 0;
    const auto unused = activity.last_used_ + limits.unused_timeout_;
    if (!busy && now >= unused) {
        return {health_action::close_unused, now};
    }
    const auto silent_since =
        busy ? std::max(activity.last_received_, activity.last_used_) : activity.last_received_;
    const auto heartbeat =
        silent_since + (busy ? limits.busy_heartbeat_interval_ : limits.idle_heartbeat_interval_);
    if (now >= heartbeat) {
        return {health_action::send_heartbeat, now + limits.heartbeat_timeout_};
    }
    return {health_action::none, busy ? heartbeat : std::min(heartbeat, unused)};
}

} // namespace daemons
