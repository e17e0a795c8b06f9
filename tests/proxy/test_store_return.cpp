#include <tests/proxy/session_fleet.hpp>

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <string>
#include <thread>
#include <vector>

namespace {

using tests::eventually;
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
    fleet.run_on_stand_in_thread([number](session_fleet& fixture) {
        for (std::size_t other = 0; other < 3; ++other) {
            fixture.database(other).set_position(fixture.database(number).position());
        }
        fixture.list_database(number, true, true);
    });
    const bool is_settled = eventually([&fleet, &replaced] {
        std::string record;
        fleet.run_on_stand_in_thread([&record](session_fleet& fixture) {
            record = fixture.store().value_of("sassafrasdeal/takeovers/svc");
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

} // namespace
