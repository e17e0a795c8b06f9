#pragma once

#include <base/clock.hpp>

#include <compare>
#include <cstdint>
#include <optional>

namespace daemons {

/// What the leader knows about one service's primary.
struct primary_condition {
    /// A takeover has begun and is not finished.
    bool is_being_replaced_ = false;
    /// How long the service has had databases, but neither a takeover record nor a single listed primary,
    /// while this daemon was the leader.
    std::optional<base::clock::duration> unknown_for_;
    /// How long the primary has reported that it drains.
    std::optional<base::clock::duration> draining_for_;
    /// Number of other daemons that have sent nothing since then.
    std::uint32_t unheard_peers_ = 0;
    /// How long it has been missing from the server list.
    std::optional<base::clock::duration> unlisted_for_;
    /// How long it has been listed as a replica.
    std::optional<base::clock::duration> demoted_for_;
    /// How long this daemon has been unable to connect to it.
    std::optional<base::clock::duration> failing_for_;
    /// Number of other daemons that may use it.
    std::uint32_t peers_ = 0;
    /// Number of those that recently reported it as reachable.
    std::uint32_t peers_reaching_ = 0;
    /// Number of those that recently reported it as failing.
    std::uint32_t peers_failing_ = 0;

    friend auto operator<=>(const primary_condition&, const primary_condition&) = default;
};

/// The action to take for a primary.
enum class takeover_decision : std::uint8_t {
    nothing,
    /// Ask the peers whether they can reach it.
    ask_peers,
    replace_planned,
    replace_failed,
    /// Replace a primary that is listed as a replica, unless it reports that it still leads.
    replace_demoted,
    /// Finish a takeover that an earlier leader began.
    finish,
};

/// Decides whether a primary is replaced: when this daemon and a second one find that it fails and no daemon
/// reaches it. A primary that only some daemons cannot reach is kept. One that drains is replaced as soon as
/// all daemons were heard, or after a short delay: it still serves, whereas a takeover beside a silent daemon
/// leaves the service without a primary until that daemon's lease has expired. If the primary stays unknown,
/// it counts as failed. Thread safety: pure.
[[nodiscard]] takeover_decision decide_takeover(const primary_condition& condition) noexcept;

} // namespace daemons
