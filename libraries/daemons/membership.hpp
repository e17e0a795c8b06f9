#pragma once

#include <base/clock.hpp>
#include <base/endpoint.hpp>
#include <daemons/datagram.hpp>
#include <daemons/member.hpp>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

/// SWIM-style failure detection and group membership as a pure state machine.
///
/// `step` takes a state by value and returns the next state with the datagrams to send, so a caller that
/// moves its state in pays for no copy. A daemon sends a bounded number of datagrams per period, independent
/// of the fleet's size, each no larger than `max_datagram_bytes`.
namespace daemons {

/// Intervals, timeouts and limits of the membership protocol.
struct membership_settings {
    /// Probe period; one member is probed in each.
    base::clock::duration period_{500};
    /// Time without an acknowledgement after which indirect probes are requested. Leaves more than half of
    /// the period for the path through a third member.
    base::clock::duration indirect_probe_delay_{200};
    std::size_t indirect_probes_ = 3;
    /// Time for a suspect to refute before it is declared dead. Two periods, so that the death of an owner is
    /// known early enough for a takeover within 6 s; a member that refutes later returns under its next
    /// incarnation.
    base::clock::duration suspicion_timeout_{1'000};
    /// Mean interval between requests for a part of another member's list.
    base::clock::duration list_exchange_interval_{2'000};
    /// Mean interval between pings to a seed or a dead member, which let the two sides of a partition find
    /// each other.
    base::clock::duration heal_interval_{10'000};
    /// Seeds to ping in each of the first `joining_periods_`. Daemons that start together may form islands,
    /// which choose different owners for the same group; without these pings the islands would last until the
    /// end of `heal_interval_`.
    std::size_t joining_seeds_ = 5;
    std::uint32_t joining_periods_ = 4;
    /// How long dead members are kept: twice the longest expected partition.
    base::clock::duration dead_retention_{2 * 3600 * 1000};
    /// Peer addresses of members to contact first.
    std::vector<base::endpoint> seeds_;

    friend auto operator<=>(const membership_settings&, const membership_settings&) = default;
};

/// A member, the time of its last state change and the dissemination of that change.
struct known_member {
    member member_;
    base::clock::time_point since_{};
    /// How many times this update was sent; empty once it was sent often enough.
    std::optional<std::uint32_t> times_sent_;

    friend auto operator<=>(const known_member&, const known_member&) = default;
};

/// The probe of the current period.
struct member_probe {
    std::string target_;
    std::uint64_t sequence_ = 0;
    base::clock::time_point started_{};
    bool indirect_requested_ = false;
    bool acknowledged_ = false;

    friend auto operator<=>(const member_probe&, const member_probe&) = default;
};

/// A probe that this daemon makes on behalf of another member.
struct relayed_probe {
    std::string target_;
    base::endpoint requester_;
    std::uint64_t requester_sequence_ = 0;
    base::clock::time_point expires_{};

    friend auto operator<=>(const relayed_probe&, const relayed_probe&) = default;
};

/// One daemon's view of the fleet. Changed only by `step`.
struct membership_state {
    membership_settings settings_;
    std::string self_;
    /// By name, including this daemon.
    std::map<std::string, known_member> members_;
    std::set<std::string> suspects_;
    std::set<std::string> dead_;
    /// Updates still to be gossiped, as the times each was sent and the member's name; the least often sent
    /// first.
    std::set<std::pair<std::uint32_t, std::string>> pending_updates_;
    /// Names to probe in random order; `next_probe_` is the index of the next one.
    std::vector<std::string> probe_order_;
    std::size_t next_probe_ = 0;
    /// Periods since the start.
    std::uint64_t periods_ = 0;
    std::optional<member_probe> probe_;
    std::map<std::uint64_t, relayed_probe> relays_;
    std::uint64_t last_sequence_ = 0;
    /// Name after which the next part of the member list starts.
    std::string list_cursor_;
    /// Whether the whole member list was fetched once since the start.
    bool list_complete_ = false;
    base::clock::time_point last_tick_{};
    base::clock::time_point next_period_{};
    base::clock::time_point next_exchange_{};
    base::clock::time_point next_heal_{};
    std::uint32_t completed_joining_periods_ = 0;
    /// Incremented with each change that readers of the member list need to see.
    std::uint64_t list_version_ = 0;

    friend auto operator<=>(const membership_state&, const membership_state&) = default;
};

/// A timer tick. Required several times per period, at least every `indirect_probe_delay_`.
struct time_passed {};
/// A datagram has arrived.
struct datagram_received {
    datagram message_;
};
/// This daemon drains: it accepts no new work but still responds to probes.
struct leave_requested {};
/// The seeds have changed, for example after a read of the platform's host list.
struct seeds_changed {
    std::vector<base::endpoint> seeds_;
};
/// This daemon's active configuration has changed.
struct revision_changed {
    std::uint64_t revision_ = 0;
};

using membership_event =
    std::variant<time_passed, datagram_received, leave_requested, seeds_changed, revision_changed>;

/// A datagram to send.
struct outgoing_datagram {
    base::endpoint to_;
    datagram message_;

    friend auto operator<=>(const outgoing_datagram&, const outgoing_datagram&) = default;
};

/// A member's change of state, for the log.
struct member_change {
    /// The previous state; empty for a new member.
    std::optional<member_state> from_;
    member now_;

    friend auto operator<=>(const member_change&, const member_change&) = default;
};

/// The result of one step.
struct membership_step {
    membership_state state_;
    std::vector<outgoing_datagram> messages_;
    std::vector<member_change> changes_;
};

/// Returns the state of a daemon that knows only itself. Precondition: the texts of `self` are at most
/// `max_member_text_bytes` long and its name is not empty.
[[nodiscard]] membership_state start_membership(const member& self, membership_settings settings,
                                                base::clock::time_point now);

/// Applies one event. `entropy` is a fresh random number; equal arguments give equal results.
[[nodiscard]] membership_step step(membership_state state, const membership_event& event,
                                   base::clock::time_point now, std::uint64_t entropy);

/// Applies one event with a random number from `random`.
template <std::uniform_random_bit_generator Random>
[[nodiscard]] membership_step step(membership_state state, const membership_event& event,
                                   base::clock::time_point now, Random& random) {
    return step(std::move(state), event, now, std::uint64_t{random()});
}

/// Returns this daemon's own member record.
[[nodiscard]] const member& self_of(const membership_state& state);

} // namespace daemons
