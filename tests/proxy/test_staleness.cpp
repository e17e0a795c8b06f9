#include <tests/proxy/session_fleet.hpp>

#include <gtest/gtest.h>

#include <chrono>
#include <csignal>
#include <cstdint>
#include <thread>

namespace {

using tests::eventually;
using tests::session_client;
using tests::session_fleet;

// Below the ephemeral port range of outgoing connections, and apart from the other tests of this program.
constexpr std::uint16_t first_port = 25'600;

// Guards against replicas that are taken for fresh because the position in the response to a failed BEGIN was
// dated when the response was read, after a suspension, and not when the BEGIN was sent (review/14).
TEST(staleness, DatesThePositionOfAFailedBeginAtItsRequest) {
    constexpr std::chrono::milliseconds max_staleness{2'500}; // of the route `batches`
    constexpr std::chrono::milliseconds suspension{1'000};
    session_fleet fleet{first_port};
    fleet.publish_all();
    const auto daemon = fleet.start_daemon();
    ASSERT_TRUE(fleet.becomes_ready(daemon));
    session_client reader{fleet.client_port(daemon), "batches"};
    session_client writer{fleet.client_port(daemon), "payouts"};
    ASSERT_TRUE(writer.run("STORE a 1").starts_with("COMPLETE sig.i-0."));
    fleet.run_on_stand_in_thread([suspension](session_fleet& fixture) {
        const auto position = fixture.database(0).position();
        fixture.database(1).set_position(position);
        fixture.database(2).set_position(position);
        fixture.database(0).set_begin_error("ERROR FAILED i-0", suspension / 2);
    });
    EXPECT_EQ(writer.run("BEGIN"), "COMPLETE -|READY T -");
    ASSERT_TRUE(writer.send("FETCH a"));
    ASSERT_TRUE(eventually([&fleet] {
        std::uint64_t failed = 0;
        fleet.run_on_stand_in_thread(
            [&failed](session_fleet& fixture) { failed = fixture.database(0).failed_begins(); });
        return failed > 0;
    }));
    fleet.signal_daemon(daemon, SIGSTOP);
    const auto committed_at = std::chrono::steady_clock::now();
    fleet.run_on_stand_in_thread([](session_fleet& fixture) {
        fixture.database(0).set_begin_error({});
        fixture.database(0).set_position(fixture.database(0).position() + 10);
    });
    std::this_thread::sleep_for(suspension);
    fleet.signal_daemon(daemon, SIGCONT);
    EXPECT_FALSE(writer.read_response().empty());
    std::this_thread::sleep_until(committed_at + max_staleness);
    while (std::chrono::steady_clock::now() < committed_at + max_staleness + suspension) {
        const auto response = reader.run("FETCH a");
        ASSERT_TRUE(response.starts_with("ROW i-0 ")) << response;
        std::this_thread::sleep_for(std::chrono::milliseconds{20});
    }
}

// Guards against reads at a primary that has started again under its id without its log: its entry still
// counted as that of the primary (review/11).
TEST(staleness, ReadsNothingFromAPrimaryThatStartedAgainWithoutItsLog) {
    session_fleet fleet{first_port + 40};
    fleet.publish_all();
    const auto daemon = fleet.start_daemon();
    ASSERT_TRUE(fleet.becomes_ready(daemon));
    fleet.run_on_stand_in_thread([](session_fleet& fixture) {
        fixture.database(1).set_position(5);
        fixture.list_database(0, true, true);
    });
    session_client client{fleet.client_port(daemon), "payouts"};
    ASSERT_TRUE(eventually([&client] { return client.run("STORE a 1").starts_with("COMPLETE sig.i-1."); }));
    fleet.run_on_stand_in_thread([](session_fleet& fixture) {
        fixture.database(2).set_position(fixture.database(1).position());
        fixture.database(1).crash();
        fixture.database(1).set_primary(false, 1);
        fixture.database(1).set_position(1);
        fixture.restart_database(1);
        fixture.list_database(1, false, false);
    });
    EXPECT_TRUE(eventually([&client] {
        const auto response = client.run("FETCH a");
        EXPECT_FALSE(response.starts_with("ROW i-1 ")) << response;
        return response.starts_with("ROW ");
    }));
}

} // namespace
