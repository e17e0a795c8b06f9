#include <daemons/exchange_schedule.hpp>
#include <daemons/fleet_message.hpp>
#include <daemons/leader_candidates.hpp>

#include <gtest/gtest.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace {

/// Returns a revision in the first history of a store.
constexpr base::store_revision revision_at(std::uint64_t number) {
    return {base::store_era{1}, number};
}

using daemons::exchange_state;
using daemons::exchange_step;
using daemons::next_exchange;

using ms = base::clock::duration;

/// What the daemons of one simulated fleet do while the messages of `duration` are counted.
struct fleet_condition {
    bool has_leader_ = true;
    bool is_suspecting_ = false;
    /// Whether one daemon responds to nobody.
    bool has_silent_daemon_ = false;
};

/// Plays the schedule of one daemon and returns how many requests it sends. Responses arrive at once.
std::uint64_t count_requests(std::size_t peers, bool is_leader, const fleet_condition& fleet, ms duration) {
    std::uint64_t sent = 0;
    ms last_leader_request{-100'000};
    ms last_survey{-100'000};
    ms last_round{-100'000};
    ms last_repeat{-100'000};
    bool is_complete = false;
    for (ms now{0}; now < duration; now += ms{50}) {
        exchange_state state;
        state.peers_ = peers;
        state.is_leader_ = is_leader;
        state.has_leader_ = fleet.has_leader_ && !is_leader;
        state.needs_lease_renewal_ = !fleet.has_leader_;
        state.is_suspecting_ = fleet.is_suspecting_;
        state.since_leader_request_ = now - last_leader_request;
        state.since_survey_ = now - last_survey;
        state.since_round_ = now - last_round;
        state.since_repeat_ = now - last_repeat;
        state.is_round_complete_ = is_complete;
        switch (next_exchange(state)) {
        case exchange_step::ask_leader:
            last_leader_request = now;
            sent += 1;
            break;
        case exchange_step::start_round:
            last_round = now;
            last_repeat = now;
            is_complete = !fleet.has_silent_daemon_;
            sent += daemons::max_leader_candidates + 1;
            break;
        case exchange_step::survey_peers:
            last_survey = now;
            sent += peers;
            break;
        case exchange_step::ask_silent_peers:
            last_repeat = now;
            sent += 1;
            break;
        case exchange_step::wait:
            break;
        }
    }
    return sent;
}

constexpr std::array<std::size_t, 4> fleet_sizes{30, 117, 300, 1'000};
constexpr ms ten_seconds{10'000};

// Guards against control traffic that grows with the square of the fleet: 117 daemons that asked each other
// every two seconds exchanged 13,600 datagrams a second on a day on which nothing happened.
TEST(exchange_schedule, AsksOnlyTheLeaderWhileItResponds) {
    for (const auto daemons : fleet_sizes) {
        const fleet_condition fleet;
        EXPECT_LE(count_requests(daemons - 1, false, fleet, ten_seconds), 25U) << daemons;
        EXPECT_EQ(count_requests(daemons - 1, true, fleet, ten_seconds), 0U) << daemons;
    }
}

// Guards against a leader that is overloaded by the requests of the whole fleet just when a primary has
// failed, and against observations that are too old to confirm the failure.
TEST(exchange_schedule, LimitsTheRequestsToTheLeaderWhileAPrimaryIsSuspected) {
    for (const auto daemons : fleet_sizes) {
        fleet_condition fleet;
        fleet.is_suspecting_ = true;
        const auto per_follower = count_requests(daemons - 1, false, fleet, ten_seconds);
        // At least one within the 600 ms for which an observation counts, also if one of two is lost.
        EXPECT_GE(per_follower, 33U) << daemons;
        EXPECT_LE(per_follower, 67U) << daemons;
        EXPECT_LE(count_requests(daemons - 1, true, fleet, ten_seconds), 67U * (daemons - 1)) << daemons;
    }
}

// Guards against a fleet that floods itself with datagrams while the store is away: the requests of a daemon
// do not depend on the size of the fleet.
TEST(exchange_schedule, AsksThePossibleLeadersOnceASecondWithoutALeader) {
    for (const auto daemons : fleet_sizes) {
        fleet_condition fleet;
        fleet.has_leader_ = false;
        EXPECT_LE(count_requests(daemons - 1, false, fleet, ten_seconds), 60U) << daemons;
        fleet.has_silent_daemon_ = true;
        EXPECT_LE(count_requests(daemons - 1, false, fleet, ten_seconds), 130U) << daemons;
    }
}

// Guards against a primary lease that expires because one datagram of a round was lost: the silent peers are
// asked again within the second after which the next round starts.
TEST(exchange_schedule, AsksSilentPeersAgainWithinARound) {
    exchange_state state;
    state.peers_ = 116;
    state.needs_lease_renewal_ = true;
    state.since_round_ = ms{200};
    state.since_repeat_ = ms{200};
    EXPECT_EQ(next_exchange(state), exchange_step::ask_silent_peers);
    state.is_round_complete_ = true;
    EXPECT_EQ(next_exchange(state), exchange_step::wait);
    state.since_round_ = ms{1'000};
    EXPECT_EQ(next_exchange(state), exchange_step::start_round);
}

TEST(exchange_schedule, LeaderAsksAllAboutASuspectedPrimaryAtOnce) {
    exchange_state state;
    state.peers_ = 116;
    state.is_leader_ = true;
    state.is_suspecting_ = true;
    EXPECT_EQ(next_exchange(state), exchange_step::survey_peers);
    state.is_suspecting_ = false;
    EXPECT_EQ(next_exchange(state), exchange_step::wait);
}

daemons::takeover_record record(std::string service, std::uint64_t revision) {
    return daemons::takeover_record_fields{std::move(service), daemons::takeover_phase::open, "a", "b",
                                           revision_at(revision)};
}

// Guards against a daemon that is not told of a record because its own records look the same.
TEST(digest_of, DiffersForOtherRecords) {
    const std::vector<daemons::takeover_record> records{record("s", 7), record("t", 8)};
    EXPECT_EQ(daemons::digest_of(records), daemons::digest_of({record("t", 8), record("s", 7)}));
    EXPECT_NE(daemons::digest_of(records), daemons::digest_of({record("s", 8), record("t", 7)}));
    EXPECT_NE(daemons::digest_of(records), daemons::digest_of({record("s", 7)}));
    EXPECT_NE(daemons::digest_of(records), daemons::digest_of(std::vector<daemons::takeover_record>{}));
}

std::map<std::string, daemons::registration> fleet_of(int daemons) {
    std::map<std::string, daemons::registration> registrations;
    for (int number = 0; number < daemons; ++number) {
        const auto address = "10.1.0." + std::to_string(number) + ":7440";
        registrations.emplace(address, daemons::registration_fields{address, 1, false, revision_at(1)});
    }
    return registrations;
}

// Guards against daemons that do not agree on who may have begun a takeover.
TEST(leader_candidates, AreAFewThatARestartDoesNotChange) {
    EXPECT_EQ(daemons::leader_candidates(fleet_of(3)).size(), 3U);
    auto fleet = fleet_of(117);
    const auto before = daemons::leader_candidates(fleet);
    EXPECT_EQ(before.size(), daemons::max_leader_candidates);
    for (auto& [address, entry] : fleet) {
        entry = daemons::registration_fields{address, 2, false, revision_at(9)};
    }
    EXPECT_EQ(daemons::leader_candidates(fleet), before);
}

// Guards against a removed candidate without a successor, and against a new order of those that remain.
TEST(leader_candidates, AreReplacedOneByOne) {
    auto fleet = fleet_of(117);
    const auto before = daemons::leader_candidates(fleet);
    fleet.erase(before[1]);
    const auto after = daemons::leader_candidates(fleet);
    ASSERT_EQ(after.size(), before.size());
    EXPECT_EQ(after[0], before[0]);
    EXPECT_EQ((std::vector<std::string>{after.begin() + 1, after.end() - 1}),
              (std::vector<std::string>{before.begin() + 2, before.end()}));
}

} // namespace
