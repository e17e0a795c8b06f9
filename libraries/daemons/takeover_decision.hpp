#pragma once

#include <base/clock.hpp>

#include <compare>
#include <cstdint>
#include <optional>

namespace daemons {

/// What the holder of the duty knows about one service's primary.
struct primary_condition {
    /// A takeover was begun and is not settled.
    bool is_being_replaced_ = false;
    /// The primary says that it is about to leave.
    bool is_draining_ = false;
    /// For how long its entry has been gone from the server list.
    std::optional<base::clock::duration> unlisted_for_;
    /// For how long it has been listed as a replica.
    std::optional<base::clock::duration> demoted_for_;
    /// For how long this daemon could open no connection to it.
    std::optional<base::clock::duration> failing_for_;
    /// How many other daemons may use it.
    std::uint32_t peers_ = 0;
    /// How many of these have said lately that it answers them.
    std::uint32_t peers_reaching_ = 0;
    /// How many have said lately that it fails.
    std::uint32_t peers_failing_ = 0;

    friend auto operator<=>(const primary_condition&, const primary_condition&) = default;
};

/// What to do about a primary.
enum class takeover_decision : std::uint8_t {
    nothing,
    /// Ask the peers whether they reach it.
    ask_peers,
    replace_planned,
    replace_failed,
    /// Go on with a takeover that an earlier holder began.
    finish,
};

/// Decides about a primary. It is replaced when this daemon and a second one find that it fails and no daemon
/// reaches it; a primary that only some daemons cannot reach stays. Thread safety: pure.
[[nodiscard]] takeover_decision decide_takeover(const primary_condition& condition) noexcept;

} // namespace daemons
