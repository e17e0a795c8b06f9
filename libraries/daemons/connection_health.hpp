#pragma once

#include <base/clock.hpp>
#include <daemons/peer_limits.hpp>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>

/// Decides when a client connection needs a heartbeat and when it is closed. Pure.
namespace daemons {

/// The recent activity on a connection.
struct connection_activity {
    base::clock::time_point last_received_{};
    /// When the number of pending requests last changed from or to zero.
    base::clock::time_point last_used_{};
    /// When a heartbeat was sent, if nothing was received since.
    std::optional<base::clock::time_point> heartbeat_sent_;
    std::size_t pending_requests_ = 0;

    friend auto operator<=>(const connection_activity&, const connection_activity&) = default;
};

enum class health_action : std::uint8_t { none, send_heartbeat, close_silent, close_unused };

/// The action to take now, and the time of the next check unless a request is sent before.
struct health_decision {
    health_action action_ = health_action::none;
    base::clock::time_point next_check_{};

    friend auto operator<=>(const health_decision&, const health_decision&) = default;
};

[[nodiscard]] health_decision decide_health(const connection_activity& activity, const peer_limits& limits,
                                            base::clock::time_point now);

} // namespace daemons
