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

/// Membership of the fleet as pure decisions, in the style of SWIM.
///
/// `step` takes a state by value and returns the next one with the datagrams to send, so that a caller that
/// moves its state in pays for no copy. A daemon sends a bounded number of datagrams a period, each below
/// `most_datagram_bytes`, whatever the fleet's size.
namespace daemons {

/// The periods and bounds of membership.
struct membership_settings {
    /// One member is probed in each period.
    base::clock::duration period_{500};
    /// How long a direct probe waits before others are asked to probe. Leaves more than half of the period
    /// for the way over a third member.
    base::clock::duration indirect_after_{200};
    std::size_t indirect_probes_ = 3;
    /// How long a suspect may refute. Two periods, so that the death of a home is known soon enough for a
    /// takeover within 6 s; a member that is slower to refute returns under its next incarnation.
    base::clock::duration suspicion_{1'000};
    /// How often a part of the member list is fetched from another member.
    base::clock::duration exchange_{2'000};
    /// How often a seed or a dead member is tried, so that the two sides of a partition find each other.
    base::clock::duration heal_{10'000};
    /// Daemons that start together may each meet one other first. In its first periods a daemon tries this
    /// many seeds in each, so that such islands, which choose different homes, do not last until the next
    /// `heal_`.
    std::size_t joining_seeds_ = 5;
    std::uint32_t joining_periods_ = 4;
    /// How long the dead are remembered: twice the longest partition that is expected.
    base::clock::duration dead_kept_{2 * 3600 * 1000};
    /// Peer addresses of some other members.
    std::vector<base::endpoint> seeds_;

    friend auto operator<=>(const membership_settings&, const membership_settings&) = default;
};

/// A member and since when it is in its state.
struct known_member {
    member member_;
    base::clock::time_point since_{};
    /// How often the news of this state was sent; empty once it was sent often enough.
    std::optional<std::uint32_t> sent_;

    friend auto operator<=>(const known_member&, const known_member&) = default;
};

/// The probe of the present period.
struct member_probe {
    std::string target_;
    std::uint64_t sequence_ = 0;
    base::clock::time_point started_{};
    bool asked_others_ = false;
    bool answered_ = false;

    friend auto operator<=>(const member_probe&, const member_probe&) = default;
};

/// A probe on behalf of another member.
struct relayed_probe {
    std::string target_;
    base::endpoint requester_;
    std::uint64_t requester_sequence_ = 0;
    base::clock::time_point expires_{};

    friend auto operator<=>(const relayed_probe&, const relayed_probe&) = default;
};

/// What one daemon knows of the fleet. Changed only by `step`.
struct membership_state {
    membership_settings settings_;
    std::string self_;
    /// By name, this daemon included.
    std::map<std::string, known_member> members_;
    std::set<std::string> suspects_;
    std::set<std::string> dead_;
    /// Names with unsent news, the least often sent first.
    std::set<std::pair<std::uint32_t, std::string>> news_;
    /// The names to probe in a random order, and the next of them.
    std::vector<std::string> probe_order_;
    std::size_t next_probe_ = 0;
    /// Periods since the start.
    std::uint64_t periods_ = 0;
    std::optional<member_probe> probe_;
    std::map<std::uint64_t, relayed_probe> relays_;
    std::uint64_t last_sequence_ = 0;
    /// Where the next part of the member list starts.
    std::string list_cursor_;
    /// Whether the whole list was fetched once since the start.
    bool list_complete_ = false;
    base::clock::time_point last_tick_{};
    base::clock::time_point next_period_{};
    base::clock::time_point next_exchange_{};
    base::clock::time_point next_heal_{};
    std::uint32_t joining_periods_over_ = 0;
    /// Grows with each change that a reader of the member list has to see.
    std::uint64_t list_version_ = 0;

    friend auto operator<=>(const membership_state&, const membership_state&) = default;
};

/// Time has passed. Due several times in each period, at least every `indirect_after_`.
struct time_passed {};
/// A datagram has arrived.
struct datagram_received {
    datagram message_;
};
/// This daemon drains: it takes no new work but still answers.
struct leave_requested {};
/// The seeds have changed, for example after a look at the platform's host list.
struct seeds_changed {
    std::vector<base::endpoint> seeds_;
};
/// This daemon has another configuration in force.
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

/// A member that is in another state than before, for the log.
struct member_change {
    /// Empty for a member that was not known.
    std::optional<member_state> from_;
    member now_;

    friend auto operator<=>(const member_change&, const member_change&) = default;
};

/// What one step brings.
struct membership_step {
    membership_state state_;
    std::vector<outgoing_datagram> messages_;
    std::vector<member_change> changes_;
};

/// Returns the state of a daemon that knows only itself. Precondition: the texts of `self` are at most
/// `most_member_text_bytes` long and its name is not empty.
[[nodiscard]] membership_state start_membership(const member& self, membership_settings settings,
                                                base::clock::time_point now);

/// Takes one event. `entropy` is a fresh random number; equal arguments give equal results.
[[nodiscard]] membership_step step(membership_state state, const membership_event& event,
                                   base::clock::time_point now, std::uint64_t entropy);

/// Takes one event with a random number from `random`.
template <std::uniform_random_bit_generator Random>
[[nodiscard]] membership_step step(membership_state state, const membership_event& event,
                                   base::clock::time_point now, Random& random) {
    return step(std::move(state), event, now, std::uint64_t{random()});
}

/// Returns this daemon as it announces itself.
[[nodiscard]] const member& self_of(const membership_state& state);

} // namespace daemons
