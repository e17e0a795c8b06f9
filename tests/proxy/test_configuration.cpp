#include <tests/proxy/session_fleet.hpp>

#include <gtest/gtest.h>

#include <cstddef>
#include <cstdint>
#include <string>

namespace {

using tests::eventually;
using tests::session_client;
using tests::session_fleet;
using tests::store_path;

// Each test uses separate ports, below the ephemeral port range of outgoing connections.
constexpr std::uint16_t first_port = 22'400;
constexpr std::uint16_t ports_of_test = 40;

constexpr std::uint16_t port_of_test(int number) {
    return static_cast<std::uint16_t>(first_port + number * ports_of_test);
}

std::string route(const std::string& database) {
    return R"({"name":")" + database + R"(","database-name":")" + database +
           R"(","type":"primary","timeout-ms":3000,"target-latency-ms":1000,"priority":0,"service":"svc"})";
}

/// Returns a configuration with the routes `payouts` and `database`, of at least `size` bytes.
std::string configuration(std::uint64_t version, const std::string& database, std::size_t size = 0) {
    auto routes = route("payouts") + "," + route(database);
    for (int number = 0; routes.size() < size; ++number) {
        routes += "," + route("unused" + std::to_string(number));
    }
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" + routes +
           R"(],"services":[{"name":"svc","max-connections":16,"sync-replicas":0}],"limits":{}})";
}

void publish(session_fleet& fleet, const std::string& key, const std::string& value) {
    fleet.run_on_stand_in_thread([&](session_fleet& fixture) { fixture.store().put(key, value); });
}

bool serves(session_fleet& fleet, std::size_t daemon, const std::string& database) {
    return eventually([&] {
        session_client client{fleet.client_port(daemon), database};
        return client.run("FETCH a").starts_with("ROW ");
    });
}

/// Starts two daemons that reach the store directly, and one over the link.
std::size_t start_daemons(session_fleet& fleet) {
    fleet.publish_all();
    for (int number = 0; number < 2; ++number) {
        EXPECT_TRUE(fleet.becomes_ready(fleet.start_daemon()));
    }
    const auto daemon = fleet.start_daemon({}, {}, store_path::link);
    EXPECT_TRUE(fleet.becomes_ready(daemon));
    return daemon;
}

// Guards against a daemon that the store rejects and that keeps a configuration which its peers have
// replaced.
TEST(configuration, ReachesADaemonThatTheStoreRejects) {
    session_fleet fleet{port_of_test(0)};
    const auto daemon = start_daemons(fleet);
    fleet.run_on_stand_in_thread([](session_fleet& fixture) { fixture.link().set_rejecting(true); });
    publish(fleet, "op/config", configuration(5, "added"));
    EXPECT_TRUE(serves(fleet, daemon, "added"));
}

// Guards against a client that is told that its database does not exist, by a daemon that knows of a newer
// version.
TEST(configuration, DeniesNoDatabaseThatANewerVersionMayHave) {
    session_fleet fleet{port_of_test(1)};
    const auto daemon = start_daemons(fleet);
    fleet.run_on_stand_in_thread([](session_fleet& fixture) { fixture.link().set_rejecting(true); });
    publish(fleet, "op/config", configuration(5, "added"));
    const std::string gauge{"\nsassafrasdeal_configuration_behind_ms "};
    ASSERT_TRUE(eventually([&] {
        const auto metrics = fleet.metrics(daemon);
        return metrics.find(gauge + "0\n") == std::string::npos ||
               metrics.find("version 5\n") != std::string::npos;
    }));
    const session_client client{fleet.client_port(daemon), "added"};
    EXPECT_FALSE(client.greeting().starts_with("ERROR NODB")) << client.greeting();
}

void slow_down_link(session_fleet& fleet) {
    fleet.run_on_stand_in_thread(
        [](session_fleet& fixture) { fixture.link().set_fault(stand_ins::link_fault::delayed); });
}

/// Publishes a configuration whose transfer over the slow link takes about three seconds.
void publish_large(session_fleet& fleet) {
    constexpr std::size_t size = 400'000;
    publish(fleet, "op/config", configuration(5, "added", size));
}

// Guards against a configuration that never arrives because its transfer takes longer than a lost call.
TEST(configuration, ArrivesOverASlowLink) {
    session_fleet fleet{port_of_test(2)};
    const auto daemon = start_daemons(fleet);
    slow_down_link(fleet);
    publish_large(fleet);
    EXPECT_TRUE(serves(fleet, daemon, "added"));
}

// The same for a daemon that has no peers to fetch it from.
TEST(configuration, IsReadOverASlowLinkAtTheStart) {
    session_fleet fleet{port_of_test(3)};
    fleet.publish_all();
    slow_down_link(fleet);
    publish_large(fleet);
    const auto daemon = fleet.start_daemon({}, {}, store_path::link);
    ASSERT_TRUE(fleet.becomes_ready(daemon));
    EXPECT_TRUE(serves(fleet, daemon, "added"));
}

// Guards against a value under another key with the same prefix that is taken for the configuration.
TEST(configuration, IsTakenFromItsOwnKeyOnly) {
    session_fleet fleet{port_of_test(4)};
    fleet.publish_all();
    const auto daemon = fleet.start_daemon();
    ASSERT_TRUE(fleet.becomes_ready(daemon));
    publish(fleet, "op/config-draft", configuration(9, "draft"));
    publish(fleet, "op/config", configuration(5, "added"));
    EXPECT_TRUE(serves(fleet, daemon, "added"));
    const session_client client{fleet.client_port(daemon), "draft"};
    EXPECT_EQ(client.greeting(), "ERROR NODB draft");
}

} // namespace
