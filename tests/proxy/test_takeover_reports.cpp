#include <tests/proxy/session_fleet.hpp>

#include <gtest/gtest.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <thread>
#include <vector>

namespace {

using tests::eventually;
using tests::session_client;
using tests::session_fleet;

// Below the ephemeral port range of outgoing connections, and apart from the other tests of this program.
constexpr std::uint16_t first_port = 25'000;
constexpr std::uint16_t ports_of_test = 40;
// Longer than the former attempts to ask a database, and shorter than an entry of the server list is kept.
constexpr std::chrono::milliseconds disruption{2'500};

constexpr std::uint16_t port_of_test(int number) {
    return static_cast<std::uint16_t>(first_port + number * ports_of_test);
}

bool serves_writes(session_fleet& fleet, std::size_t daemon, const std::string& expected) {
    return eventually([&] {
        session_client client{fleet.client_port(daemon), "payouts"};
        return client.run("STORE a 1").find(expected) != std::string::npos;
    });
}

std::vector<std::string> promotions_of(session_fleet& fleet) {
    std::vector<std::string> promotions;
    fleet.run_on_stand_in_thread(
        [&promotions](session_fleet& fixture) { promotions = fixture.promotions(); });
    return promotions;
}

/// Sends statements until a takeover has begun: a daemon notices the failure of a primary that it uses.
bool begins_takeover(session_fleet& fleet, std::size_t daemon) {
    return eventually([&] {
        std::string record;
        fleet.run_on_stand_in_thread([&record](session_fleet& fixture) {
            record = fixture.store().value_of("sassafrasdeal/takeovers/svc");
        });
        session_client client{fleet.client_port(daemon), "payouts"};
        return !record.empty() || client.run("STORE a 2").empty();
    });
}

std::string missing_reports_of(const session_fleet& fleet, std::size_t daemon) {
    const std::string name{"\nsassafrasdeal_takeover_reports_missing "};
    const auto metrics = fleet.metrics(daemon);
    const auto begin = metrics.find(name) + name.size();
    return metrics.substr(begin, metrics.find('\n', begin) - begin);
}

/// Starts a daemon before a service with one synchronous replica: database 1 has received all commits and
/// database 2 almost none.
std::size_t start_with_deaf_replica(session_fleet& fleet) {
    fleet.publish_all(1);
    const auto daemon = fleet.start_daemon();
    EXPECT_TRUE(fleet.becomes_ready(daemon));
    EXPECT_TRUE(serves_writes(fleet, daemon, "COMPLETE sig.i-0"));
    fleet.run_on_stand_in_thread([](session_fleet& fixture) {
        fixture.database(0).set_position(9);
        fixture.database(1).set_position(9);
        fixture.database(2).set_position(3);
    });
    return daemon;
}

struct silent_replica {
    std::string name_;
    /// Keeps database 1 from reporting, and lets it report again.
    std::function<void(stand_ins::line_database&)> begin_;
    std::function<void(stand_ins::line_database&)> end_;
    bool is_only_late_ = false;
};

const std::vector<silent_replica> silent_replicas{
    {"without_a_free_connection", [](auto& database) { database.set_start_error("ERROR CONNLIMIT i-1"); },
     [](auto& database) {
         database.set_start_error({});
     }},
    {"overloaded", [](auto& database) { database.set_status_error("ERROR THROTTLED i-1"); },
     [](auto& database) {
         database.set_status_error({});
     }},
    // Its answers take longer than the first request waits for them.
    {"slow", [](auto& database) { database.set_answer_delay(std::chrono::milliseconds{600}); },
     [](auto& database) { database.set_answer_delay({}); }, true}};

class takeover_reports : public ::testing::TestWithParam<std::size_t> {};

// Guards against the promotion of a replica that lacks acknowledged commits because the one that has them did
// not report at once (review/12).
TEST_P(takeover_reports, PromotesTheReplicaThatHasTheAcknowledgedCommits) {
    const auto& silent = silent_replicas.at(GetParam());
    session_fleet fleet{port_of_test(static_cast<int>(GetParam()))};
    const auto daemon = start_with_deaf_replica(fleet);
    fleet.run_on_stand_in_thread([&silent](session_fleet& fixture) {
        silent.begin_(fixture.database(1));
        fixture.database(0).crash();
    });
    ASSERT_TRUE(begins_takeover(fleet, daemon));
    if (silent.is_only_late_) {
        ASSERT_TRUE(eventually([&fleet] { return !promotions_of(fleet).empty(); }));
    } else {
        std::this_thread::sleep_for(disruption);
    }
    fleet.run_on_stand_in_thread([&silent](session_fleet& fixture) { silent.end_(fixture.database(1)); });
    EXPECT_TRUE(serves_writes(fleet, daemon, "COMPLETE sig.i-1")) << silent.name_;
    EXPECT_EQ(promotions_of(fleet), std::vector<std::string>{"i-1"}) << silent.name_;
}

INSTANTIATE_TEST_SUITE_P(all, takeover_reports, ::testing::Range<std::size_t>(0, silent_replicas.size()),
                         [](const auto& tested) { return silent_replicas.at(tested.param).name_; });

// Guards against a service that stays without a primary: the database that it waits for has left for good.
TEST(takeover_reports, EndsTheWaitForAReplicaThatLeavesTheList) {
    session_fleet fleet{port_of_test(8)};
    const auto daemon = start_with_deaf_replica(fleet);
    fleet.run_on_stand_in_thread([](session_fleet& fixture) {
        fixture.database(0).crash();
        fixture.database(1).crash();
    });
    ASSERT_TRUE(begins_takeover(fleet, daemon));
    ASSERT_TRUE(eventually([&] { return missing_reports_of(fleet, daemon) == "1"; }));
    EXPECT_TRUE(promotions_of(fleet).empty());
    fleet.run_on_stand_in_thread([](session_fleet& fixture) { fixture.store().remove("servers/i-1"); });
    EXPECT_TRUE(serves_writes(fleet, daemon, "COMPLETE sig.i-2"));
    EXPECT_EQ(missing_reports_of(fleet, daemon), "0");
}

// Guards against a service that waits for a report although its primary is back with all of its log.
TEST(takeover_reports, KeepsThePrimaryThatReturnsWhileAReportIsMissing) {
    session_fleet fleet{port_of_test(9)};
    const auto daemon = start_with_deaf_replica(fleet);
    fleet.run_on_stand_in_thread([](session_fleet& fixture) {
        fixture.database(0).crash();
        fixture.database(1).set_start_error("ERROR CONNLIMIT i-1");
    });
    ASSERT_TRUE(begins_takeover(fleet, daemon));
    ASSERT_TRUE(eventually([&] { return missing_reports_of(fleet, daemon) == "1"; }));
    fleet.run_on_stand_in_thread([](session_fleet& fixture) { fixture.restart_database(0); });
    EXPECT_TRUE(serves_writes(fleet, daemon, "COMPLETE sig.i-0"));
    EXPECT_TRUE(promotions_of(fleet).empty());
}

// Guards against replacing a primary that leads because its entry is out of date and one request for its
// status failed (review/9): commits that it acknowledged meanwhile come back with it.
TEST(takeover_reports, KeepsAPrimaryThatIsListedAsReplicaAndDoesNotReport) {
    session_fleet fleet{port_of_test(10)};
    const auto daemon = start_with_deaf_replica(fleet);
    fleet.run_on_stand_in_thread([](session_fleet& fixture) { fixture.database(0).crash(); });
    ASSERT_TRUE(serves_writes(fleet, daemon, "COMPLETE sig.i-1"));
    fleet.run_on_stand_in_thread([](session_fleet& fixture) {
        fixture.database(1).set_status_error("ERROR THROTTLED i-1");
        fixture.list_database(1, false, false);
    });
    std::this_thread::sleep_for(disruption);
    EXPECT_TRUE(serves_writes(fleet, daemon, "COMPLETE sig.i-1"));
    EXPECT_EQ(promotions_of(fleet), std::vector<std::string>{"i-1"});
}

} // namespace
