#include <daemons/connection_health.hpp>

#include <algorithm>

namespace daemons {

health_decision decide_health(const connection_activity& activity, const peer_limits& limits,
                              base::clock::time_point now) {
    if (activity.heartbeat_sent_) {
        const auto given_up = *activity.heartbeat_sent_ + limits.silence_;
        return {now >= given_up ? health_action::close_silent : health_action::none, given_up};
    }
    const bool busy = activity.unanswered_ > 0;
    const auto unused = activity.last_used_ + limits.unused_;
    if (!busy && now >= unused) {
        return {health_action::close_unused, now};
    }
    const auto quiet_since =
        busy ? std::max(activity.last_received_, activity.last_used_) : activity.last_received_;
    const auto heartbeat = quiet_since + (busy ? limits.busy_heartbeat_ : limits.idle_heartbeat_);
    if (now >= heartbeat) {
        return {health_action::send_heartbeat, now + limits.silence_};
    }
    return {health_action::none, busy ? heartbeat : std::min(heartbeat, unused)};
}

} // namespace daemons
