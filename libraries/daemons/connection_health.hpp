#pragma once

#include <base/clock.hpp>
#include <daemons/peer_limits.hpp>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>

/// Decides when a client connection needs a heartbeat and when it is given up. Pure.
namespace daemons {

/// What a connection has seen so far.
struct connection_activity {
    base::clock::time_point last_received_{};
    /// When the oldest of the present unanswered questions was asked, or the last question ended.
    base::clock::time_point last_used_{};
    /// When the heartbeat was sent that nothing has followed yet.
    std::optional<base::clock::time_point> heartbeat_sent_;
    std::size_t unanswered_ = 0;

    friend auto operator<=>(const connection_activity&, const connection_activity&) = default;
};

enum class health_action : std::uint8_t { none, send_heartbeat, close_silent, close_unused };

/// What to do now, and when to ask again unless a question is asked before.
struct health_decision {
    health_action action_ = health_action::none;
    base::clock::time_point next_check_{};

    friend auto operator<=>(const health_decision&, const health_decision&) = default;
};

[[nodiscard]] health_decision decide_health(const connection_activity& activity, const peer_limits& limits,
                                            base::clock::time_point now);

} // namespace daemons
