#pragma once

#include <base/clock.hpp>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace daemons {

/// What decides which peers a daemon asks next.
struct exchange_state {
    std::size_t peers_ = 0;
    bool is_leader_ = false;
    /// Another daemon is known as the leader.
    bool has_leader_ = false;
    /// The primary lease needs evidence that the leader has not given.
    bool needs_lease_renewal_ = false;
    /// A primary is suspected to have failed.
    bool is_suspecting_ = false;
    /// Time since this daemon last asked the leader, if it has.
    std::optional<base::clock::duration> since_leader_request_;
    /// Time since the last peer round was started, if one was.
    std::optional<base::clock::duration> since_round_;
    /// Time since the silent peers of the round were last asked.
    std::optional<base::clock::duration> since_repeat_;
    /// Every peer has responded to the last round.
    bool is_round_complete_ = false;

    friend auto operator<=>(const exchange_state&, const exchange_state&) = default;
};

/// The next requests of a daemon.
enum class exchange_step : std::uint8_t {
    wait,
    /// Ask the leader, which reads the store continuously and so renews the lease of every daemon.
    ask_leader,
    /// Start a peer round: ask every peer.
    start_round,
    /// Ask the peers that have not responded to the current round again.
    ask_silent_peers,
};

/// Decides whom a daemon asks next. Designed for large fleets: while the leader responds, a daemon asks
/// nobody else, so that the messages of the fleet grow with its size and not with the square of its size. All
/// daemons ask all peers only while the leader cannot renew their leases, and each peer about once in a
/// second. Thread safety: pure function.
[[nodiscard]] exchange_step next_exchange(const exchange_state& state) noexcept;

/// Returns the interval between the requests of a daemon that suspects a primary. It grows with the fleet, so
/// that the leader, which receives the requests of all, is not overloaded. Thread safety: pure function.
[[nodiscard]] base::clock::duration suspicion_interval(std::size_t peers) noexcept;

} // namespace daemons
