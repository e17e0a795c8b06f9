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
    /// Time since this daemon last asked all peers about the primaries, if it has.
    std::optional<base::clock::duration> since_survey_;
    /// Time since the last peer round was started, if one was.
    std::optional<base::clock::duration> since_round_;
    /// Time since the silent peers of the round were last asked.
    std::optional<base::clock::duration> since_repeat_;
    /// Every daemon that was asked has responded to the last round.
    bool is_round_complete_ = false;

    friend auto operator<=>(const exchange_state&, const exchange_state&) = default;
};

/// The next requests of a daemon.
enum class exchange_step : std::uint8_t {
    wait,
    /// Ask the leader, which reads the store continuously and so renews the lease of every daemon.
    ask_leader,
    /// Ask every peer for its observations of the primaries.
    survey_peers,
    /// Start a peer round: ask every daemon that may have begun a takeover, which are few.
    start_round,
    /// Ask the daemons that have not responded to the current round again.
    ask_silent_peers,
};

/// Decides whom a daemon asks next. Designed for large fleets: while the leader responds, a daemon asks
/// nobody else; without one, it asks the few daemons that may have become the leader. So the messages of the
/// fleet grow with its size and not with the square of its size. Only the leader asks all peers, while a
/// primary is suspected. Thread safety: pure function.
[[nodiscard]] exchange_step next_exchange(const exchange_state& state) noexcept;

/// Returns the interval between the requests of a daemon that suspects a primary. It grows with the fleet, so
/// that the leader, which receives the requests of all, is not overloaded. Thread safety: pure function.
[[nodiscard]] base::clock::duration suspicion_interval(std::size_t peers) noexcept;

} // namespace daemons
