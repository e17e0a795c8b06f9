#include <tests/proxy/session_fleet.hpp>

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace {

using tests::eventually;
using tests::session_client;
using tests::session_fleet;

// The port range of this file, which follows that of test_session_daemon.cpp.
constexpr std::uint16_t first_port = 23'400;
constexpr std::uint16_t ports_of_test = 40;

constexpr std::uint16_t port_of_test(int number) {
    return static_cast<std::uint16_t>(first_port + number * ports_of_test);
}

/// Starts a fleet of two daemons on a store that states its history.
void start(session_fleet& fleet) {
    fleet.run_on_stand_in_thread([](session_fleet& fixture) {
        fixture.store().state_era(1);
        fixture.store().set_ending_leases(true);
    });
    fleet.publish_all();
    for (const auto daemon : {fleet.start_daemon(), fleet.start_daemon()}) {
        ASSERT_TRUE(fleet.becomes_ready(daemon));
    }
    ASSERT_TRUE(eventually([&fleet] { return fleet.leader().has_value(); }));
}

/// Replaces a primary as planned. Returns whether the store then holds a record of the settled takeover.
[[nodiscard]] bool replace_primary(session_fleet& fleet, std::size_t number) {
    const auto replaced = R"("replaced":"i-)" + std::to_string(number) + '"';
    std::size_t earlier_promotions = 0;
    fleet.run_on_stand_in_thread([number, &earlier_promotions](session_fleet& fixture) {
        earlier_promotions = fixture.promotions().size();
        for (std::size_t other = 0; other < 3; ++other) {
            fixture.database(other).set_position(fixture.database(number).position());
        }
        fixture.list_database(number, true, true);
    });
    const bool is_settled = eventually([&fleet, &replaced, earlier_promotions] {
        std::string record;
        fleet.run_on_stand_in_thread([&record, earlier_promotions](session_fleet& fixture) {
            if (fixture.promotions().size() > earlier_promotions) {
                record = fixture.store().value_of("sassafrasdeal/takeovers/svc");
            }
        });
        return record.find("settled") != std::string::npos && record.find(replaced) != std::string::npos;
    });
    fleet.run_on_stand_in_thread(
        [number](session_fleet& fixture) { fixture.list_database(number, false, false); });
    return is_settled;
}

/// Returns the number of the database that was promoted last.
std::size_t number_of_promoted(session_fleet& fleet) {
    std::string id;
    fleet.run_on_stand_in_thread([&id](session_fleet& fixture) { id = fixture.promotions().back(); });
    return std::stoul(id.substr(2));
}

/// Lets another daemon acquire the leadership, or the same one again, at a higher revision.
void replace_leader(session_fleet& fleet) {
    const std::string key{"sassafrasdeal/duty"};
    fleet.run_on_stand_in_thread([&key](session_fleet& fixture) { fixture.store().remove(key); });
    ASSERT_TRUE(eventually([&fleet] { return fleet.leader().has_value(); }));
}

/// Ends the first two daemons at once and removes their registrations, as a leader would do after a while.
void end_daemons(session_fleet& fleet) {
    for (const std::size_t daemon : {0U, 1U}) {
        fleet.signal_daemon(daemon, SIGKILL);
        static_cast<void>(fleet.wait_for_exit(daemon));
        const auto peer_port = fleet.client_port(daemon) + 2;
        fleet.run_on_stand_in_thread([peer_port](session_fleet& fixture) {
            fixture.store().remove("sassafrasdeal/daemons/127.0.0.1:" + std::to_string(peer_port));
        });
    }
}

// Guards against a promotion call with a lower fencing token than an earlier one: the store came back from a
// copy that lacks the last leader, and gave its revision out again (review/7, ONE).
TEST(store_return, RaisesTheFencingToken) {
    session_fleet fleet{port_of_test(0)};
    start(fleet);
    fleet.run_on_stand_in_thread([](session_fleet& fixture) {
        fixture.store().take_copy();
        // More changes than follow after the return.
        for (int count = 0; count < 100; ++count) {
            fixture.store().put("op/other", "");
        }
    });
    replace_leader(fleet);
    ASSERT_TRUE(replace_primary(fleet, 0));
    const auto primary_after = number_of_promoted(fleet);
    fleet.run_on_stand_in_thread([](session_fleet& fixture) { fixture.store().return_to_copy(); });
    // A daemon that starts after the return knows no earlier token.
    end_daemons(fleet);
    const auto daemon = fleet.start_daemon();
    ASSERT_TRUE(fleet.becomes_ready(daemon));
    ASSERT_TRUE(replace_primary(fleet, primary_after));
    std::vector<std::uint64_t> tokens;
    fleet.run_on_stand_in_thread(
        [&tokens](session_fleet& fixture) { tokens = fixture.store().promotion_tokens(); });
    ASSERT_GE(tokens.size(), 2U);
    EXPECT_TRUE(std::is_sorted(tokens.begin(), tokens.end()))
        << tokens.front() << " before " << tokens.back();
}

/// Reads through a daemon for five seconds. Returns the ids of the databases that answered.
std::set<std::string> read_from(session_fleet& fleet, std::size_t daemon) {
    std::set<std::string> databases;
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds{5};
    while (std::chrono::steady_clock::now() < end) {
        try {
            session_client client{fleet.client_port(daemon), "payouts"};
            const auto response = client.run("FETCH a");
            if (response.starts_with("ROW ")) {
                databases.insert(response.substr(4, 3));
            }
        } catch (const boost::system::system_error&) {
            // The daemon does not listen yet.
        }
        std::this_thread::sleep_for(std::chrono::milliseconds{10});
    }
    return databases;
}

/// Replaces the primary twice. The store's copy, to which it is about to return, lacks the second takeover.
/// Returns the id of the last primary.
std::string lose_a_takeover(session_fleet& fleet) {
    EXPECT_TRUE(replace_primary(fleet, 0));
    const auto first = number_of_promoted(fleet);
    fleet.run_on_stand_in_thread([](session_fleet& fixture) { fixture.store().take_copy(); });
    EXPECT_TRUE(replace_primary(fleet, first));
    return "i-" + std::to_string(number_of_promoted(fleet));
}

void return_to_copy(session_fleet& fleet) {
    fleet.run_on_stand_in_thread([](session_fleet& fixture) { fixture.store().return_to_copy(); });
}

// Guards against reads at a replaced primary: the copy from which the store came back lacks the last
// takeover, and a daemon that has just started used the primary that it names (review/6, STALE).
TEST(store_return, StartingDaemonUsesNoReplacedPrimary) {
    session_fleet fleet{port_of_test(1)};
    start(fleet);
    const auto primary = lose_a_takeover(fleet);
    return_to_copy(fleet);
    const auto daemon = fleet.start_daemon();
    EXPECT_EQ(read_from(fleet, daemon), std::set<std::string>{primary});
}

// Guards against the same when no daemon is left that knew of the takeover: only the databases show it.
TEST(store_return, BelievesTheDatabasesWhenNoDaemonKnowsATakeover) {
    session_fleet fleet{port_of_test(2)};
    start(fleet);
    const auto primary = lose_a_takeover(fleet);
    return_to_copy(fleet);
    end_daemons(fleet);
    const auto daemon = fleet.start_daemon();
    EXPECT_EQ(read_from(fleet, daemon), std::set<std::string>{primary});
}

// Guards against a service that is never taken over again: its daemons expect the revision of a record that
// the store no longer has (the third effect of review/7, DRAIN).
TEST(store_return, ReplacesAPrimaryWhoseTakeoverTheCopyLacks) {
    session_fleet fleet{port_of_test(3)};
    start(fleet);
    const auto primary = lose_a_takeover(fleet);
    return_to_copy(fleet);
    EXPECT_TRUE(replace_primary(fleet, number_of_promoted(fleet)));
    EXPECT_NE("i-" + std::to_string(number_of_promoted(fleet)), primary);
}

// Guards against a leader that goes on in an earlier history: it was suspended while the store came back
// twice.
TEST(store_return, SuspendedLeaderOfAnEarlierHistoryPromotesNothing) {
    session_fleet fleet{port_of_test(4)};
    start(fleet);
    const auto primary = lose_a_takeover(fleet);
    const auto leader = fleet.leader();
    ASSERT_TRUE(leader);
    fleet.signal_daemon(*leader, SIGSTOP);
    return_to_copy(fleet);
    std::this_thread::sleep_for(std::chrono::milliseconds{700});
    return_to_copy(fleet);
    ASSERT_TRUE(eventually([&fleet, &leader] { return fleet.leader() && fleet.leader() != leader; }));
    fleet.signal_daemon(*leader, SIGCONT);
    EXPECT_EQ(read_from(fleet, *leader), std::set<std::string>{primary});
    EXPECT_TRUE(replace_primary(fleet, number_of_promoted(fleet)));
    std::vector<std::uint64_t> tokens;
    fleet.run_on_stand_in_thread(
        [&tokens](session_fleet& fixture) { tokens = fixture.store().promotion_tokens(); });
    EXPECT_TRUE(std::is_sorted(tokens.begin(), tokens.end()));
    EXPECT_GT(tokens.back(), 3'000'000'000'000U);
}

} // namespace
