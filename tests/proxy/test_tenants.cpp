#include <tests/proxy/session_fleet.hpp>

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <fstream>
#include <functional>
#include <iterator>
#include <memory>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace {

using std::chrono::milliseconds;
using tests::eventually;
using tests::session_client;
using tests::session_fleet;

constexpr std::uint16_t first_port = 26'000;
constexpr std::uint16_t ports_of_test = 40;
// `config-apply-ms` and `revoke-ms`: how long after a version of the configuration its keys must be in force.
constexpr std::chrono::seconds apply_limit{5};
// Several times the period of the check that closes sessions.
constexpr std::chrono::seconds check_limit{2};

const std::string koro = R"({"name":"koro7","api-keys":["dedev3nax7u27gxprymh"],"priority":1})";
const std::string sava = R"({"name":"sava3","api-keys":["2rrytapjsujqurtyiikd"],"priority":1})";
const std::string koro_key = "dedev3nax7u27gxprymh";
const std::string sava_key = "2rrytapjsujqurtyiikd";
const std::string both = "[" + koro + "," + sava + "]";
const std::string only_sava = "[" + sava + "]";
/// The key of the first tenant has moved to the second.
const std::string moved =
    R"([{"name":"koro7","api-keys":[]},{"name":"sava3","api-keys":["2rrytapjsujqurtyiikd","dedev3nax7u27gxprymh"]}])";

constexpr std::uint64_t first_version = 4;

/// A test cluster with one daemon and a configuration with two tenants.
class tenants : public ::testing::Test {
protected:
    void start(int number, const std::string& log_path = {}) {
        fleet_ =
            std::make_unique<session_fleet>(static_cast<std::uint16_t>(first_port + number * ports_of_test));
        fleet_->publish_all();
        fleet_->publish_tenants(first_version, both);
        daemon_ = fleet_->start_daemon(log_path);
        ASSERT_TRUE(fleet_->becomes_ready(daemon_));
    }

    [[nodiscard]] std::unique_ptr<session_client> open(const std::string& database,
                                                       const std::string& key) const {
        return std::make_unique<session_client>(fleet_->client_port(daemon_), database, key);
    }

    /// Waits until the daemon uses a version of the configuration. Returns whether it does in time.
    [[nodiscard]] bool uses(std::uint64_t version) const {
        const auto line = "sassafrasdeal_configuration_version " + std::to_string(version) + "\n";
        return holds_within(apply_limit,
                            [&] { return fleet_->metrics(daemon_).find(line) != std::string::npos; });
    }

    [[nodiscard]] static bool holds_within(std::chrono::milliseconds limit,
                                           const std::function<bool()>& condition) {
        const auto end = std::chrono::steady_clock::now() + limit;
        return eventually([&] { return condition() || std::chrono::steady_clock::now() >= end; }) &&
               std::chrono::steady_clock::now() < end + limit && condition();
    }

    [[nodiscard]] static bool ends_within(session_client& client, std::chrono::milliseconds limit) {
        return holds_within(limit, [&client] { return client.has_ended(); });
    }

    /// Returns the tenants whose connections ran a statement with this text.
    [[nodiscard]] std::multiset<std::string> tenants_that_ran(const std::string& text) const {
        std::multiset<std::string> found;
        for_each_statement([&](const auto& one) {
            if (one.text_ == text) {
                found.insert(one.tenant_);
            }
        });
        return found;
    }

    void for_each_statement(const std::function<void(const stand_ins::seen_statement&)>& function) const {
        fleet_->run_on_stand_in_thread([&function](session_fleet& fixture) {
            for (std::size_t number = 0; number < 3; ++number) {
                const auto& seen = fixture.database(number).seen();
                std::for_each(seen.begin(), seen.end(), function);
            }
        });
    }

    /// Returns all names that connections gave to databases at their start.
    [[nodiscard]] std::set<std::string> names_given_to_databases() const {
        std::set<std::string> names;
        fleet_->run_on_stand_in_thread([&names](session_fleet& fixture) {
            for (std::size_t number = 0; number < 3; ++number) {
                const auto& started = fixture.database(number).started();
                names.insert(started.begin(), started.end());
            }
        });
        return names;
    }

    void delay_answers(milliseconds delay) const {
        fleet_->run_on_stand_in_thread([delay](session_fleet& fixture) {
            for (std::size_t number = 0; number < 3; ++number) {
                fixture.database(number).set_answer_delay(delay);
            }
        });
    }

    [[nodiscard]] bool has_metric(const std::string& line) const {
        return fleet_->metrics(daemon_).find(line + "\n") != std::string::npos;
    }

    [[nodiscard]] std::unique_ptr<session_client> open_transaction(const std::string& key,
                                                                   const std::string& text) const {
        auto client = open("payouts", key);
        EXPECT_EQ(client->run("BEGIN"), "COMPLETE -|READY T -");
        EXPECT_NE(client->run(text).find("|READY T "), std::string::npos);
        return client;
    }

    std::unique_ptr<session_fleet> fleet_;
    std::size_t daemon_ = 0;
};

const std::multiset<std::string> by_koro{"koro7"};
const std::multiset<std::string> by_sava{"sava3"};
const std::multiset<std::string> by_public{"public"};

// Guards against statements of callers that no tenant knows, and against a refusal that does not tell an
// unknown key from a missing route.
TEST_F(tenants, RefusesUnknownKeys) {
    start(0);
    for (const std::string key : {"unknown", "", "koro7", "dedev3nax7u27gxprym", "public"}) {
        const auto client = open("payouts", key);
        EXPECT_TRUE(client->greeting().starts_with("ERROR UNAUTH ")) << key << ": " << client->greeting();
        EXPECT_TRUE(client->is_closed_by_daemon()) << key;
        EXPECT_TRUE(open("nowhere", key)->greeting().starts_with("ERROR NODB ")) << key;
    }
    EXPECT_TRUE(open("nowhere", koro_key)->greeting().starts_with("ERROR NODB "));
    EXPECT_EQ(open("payouts", koro_key)->greeting(), "READY I -");
    EXPECT_TRUE(has_metric("sassafrasdeal_sessions_unauthorised_total 5"));
}

// Guards against a public route that asks for a key, or that hides the tenant of a known one.
TEST_F(tenants, ServesPublicRoutesWithoutAKey) {
    start(1);
    EXPECT_TRUE(open("notices", "unknown")->run("STORE a unknown").starts_with("COMPLETE sig."));
    EXPECT_TRUE(open("notices", "")->run("STORE a none").starts_with("COMPLETE sig."));
    EXPECT_TRUE(open("notices", koro_key)->run("STORE a koro").starts_with("COMPLETE sig."));
    EXPECT_EQ(tenants_that_ran("STORE a unknown"), by_public);
    EXPECT_EQ(tenants_that_ran("STORE a none"), by_public);
    EXPECT_EQ(tenants_that_ran("STORE a koro"), by_koro);
}

// Guards against a connection that serves two tenants, and against a database that is told a key.
TEST_F(tenants, RunsEachStatementOnAConnectionOfItsTenant) {
    start(2);
    constexpr int rounds = 12;
    std::vector<std::thread> threads;
    for (const auto& [name, key] : std::array<std::pair<std::string, std::string>, 4>{
             {{"koro7", koro_key}, {"sava3", sava_key}, {"koro7", koro_key}, {"sava3", sava_key}}}) {
        threads.emplace_back([this, name = name, key = key] {
            const auto client = open("payouts", key);
            EXPECT_EQ(client->run("PREPARE s STORE q"), "COMPLETE -|READY I -");
            for (int round = 0; round < rounds; ++round) {
                EXPECT_TRUE(client->run("STORE a " + name).starts_with("COMPLETE sig."));
                EXPECT_TRUE(client->run("EXECUTE s a " + name).starts_with("COMPLETE sig."));
                EXPECT_EQ(client->run("BEGIN"), "COMPLETE -|READY T -");
                EXPECT_NE(client->run("STORE b " + name).find("|READY T "), std::string::npos);
                EXPECT_NE(client->run("COMMIT").find("|READY I "), std::string::npos);
            }
        });
    }
    for (auto& thread : threads) {
        thread.join();
    }
    std::size_t ran = 0;
    for_each_statement([&ran](const auto& one) {
        if (one.text_.find(" a ") != std::string::npos || one.text_.find(" b ") != std::string::npos) {
            ++ran;
            EXPECT_TRUE(one.text_.ends_with(" " + one.tenant_)) << one.text_ << " as " << one.tenant_;
        }
        EXPECT_TRUE(one.tenant_ == "koro7" || one.tenant_ == "sava3") << one.text_ << " as " << one.tenant_;
    });
    EXPECT_EQ(ran, threads.size() * rounds * 3U);
    for (const auto& name : names_given_to_databases()) {
        // Connections that only check a database belong to no tenant.
        EXPECT_TRUE(name == "koro7" || name == "sava3" || name == "sassafrasdeal") << name;
    }
}

// Guards against an idle session that stays open after its key was withdrawn.
TEST_F(tenants, ClosesIdleSessionsOfAWithdrawnKey) {
    start(3);
    const auto withdrawn = open("payouts", koro_key);
    const auto busy = open("payouts", koro_key);
    const auto other = open("payouts", sava_key);
    const auto on_public_route = open("notices", koro_key);
    EXPECT_TRUE(busy->run("STORE a 1").starts_with("COMPLETE sig."));
    fleet_->publish_tenants(first_version + 1, only_sava);
    EXPECT_TRUE(ends_within(*withdrawn, apply_limit));
    EXPECT_TRUE(ends_within(*busy, apply_limit));
    EXPECT_TRUE(has_metric("sassafrasdeal_sessions_revoked_total 2"));
    EXPECT_TRUE(other->run("STORE a 2").starts_with("COMPLETE sig."));
    EXPECT_TRUE(on_public_route->run("STORE a 3").starts_with("COMPLETE sig."));
    EXPECT_EQ(tenants_that_ran("STORE a 3"), by_public);
}

// Guards against a session that had just started when its key was withdrawn, and is not looked at again.
TEST_F(tenants, ClosesSessionsThatStartDuringAWithdrawal) {
    start(4);
    std::vector<std::unique_ptr<session_client>> clients;
    constexpr std::size_t before = 10;
    clients.reserve(before);
    for (std::size_t number = 0; number < before; ++number) {
        clients.push_back(open("payouts", koro_key));
    }
    fleet_->publish_tenants(first_version + 1, only_sava);
    const auto end = std::chrono::steady_clock::now() + apply_limit;
    while (std::chrono::steady_clock::now() < end) {
        auto next = open("payouts", koro_key);
        if (next->greeting() != "READY I -") {
            EXPECT_TRUE(next->greeting().starts_with("ERROR UNAUTH ")) << next->greeting();
            break;
        }
        clients.push_back(std::move(next));
    }
    EXPECT_LT(std::chrono::steady_clock::now(), end);
    for (const auto& client : clients) {
        EXPECT_TRUE(ends_within(*client, check_limit));
    }
}

// Guards against a statement that runs with a key that was withdrawn before it, and against a client that is
// not told so although its statement had already arrived.
TEST_F(tenants, RefusesTheNextStatementAfterAWithdrawal) {
    start(5);
    const auto client = open("payouts", koro_key);
    EXPECT_TRUE(client->run("STORE a 1").starts_with("COMPLETE sig."));
    delay_answers(milliseconds{1'500});
    ASSERT_TRUE(client->send("STORE a 2"));
    ASSERT_TRUE(client->send("STORE a 3"));
    ASSERT_TRUE(client->send("STORE a 4"));
    ASSERT_TRUE(holds_within(check_limit, [this] { return fleet_->has_reached_a_database("STORE a 2"); }));
    fleet_->publish_tenants(first_version + 1, only_sava);
    ASSERT_TRUE(uses(first_version + 1));
    // This one was under way.
    EXPECT_TRUE(client->read_response().starts_with("COMPLETE sig."));
    const auto refused = client->read_response();
    EXPECT_TRUE(refused.starts_with("ERROR UNAUTH ")) << refused;
    EXPECT_TRUE(client->is_closed_by_daemon());
    EXPECT_FALSE(fleet_->has_reached_a_database("STORE a 3"));
    EXPECT_FALSE(fleet_->has_reached_a_database("STORE a 4"));
    EXPECT_TRUE(has_metric("sassafrasdeal_sessions_revoked_total 1"));
}

// Guards against a transaction that keeps its locks and its connection, or is committed, after the key of its
// client was withdrawn, and against a client that gets no answer to its end.
TEST_F(tenants, RollsBackTransactionsOfAWithdrawnKey) {
    start(6);
    const auto committing = open_transaction(koro_key, "STORE a 1");
    const auto returning = open_transaction(koro_key, "STORE b 1");
    const auto other = open_transaction(sava_key, "STORE c 1");
    const auto unstarted = open("payouts", koro_key);
    EXPECT_EQ(unstarted->run("BEGIN"), "COMPLETE -|READY T -");
    fleet_->publish_tenants(first_version + 1, only_sava);
    EXPECT_TRUE(holds_within(apply_limit, [this] { return tenants_that_ran("ROLLBACK").size() == 2U; }));
    const auto refused = committing->run("STORE a 2");
    EXPECT_TRUE(refused.starts_with("ERROR ABORTED ")) << refused;
    EXPECT_TRUE(refused.ends_with("|READY E -")) << refused;
    const auto ended = committing->run("COMMIT");
    EXPECT_TRUE(ended.starts_with("ERROR ABORTED ")) << ended;
    EXPECT_TRUE(ended.ends_with("|READY I -")) << ended;
    EXPECT_TRUE(committing->is_closed_by_daemon());
    EXPECT_EQ(returning->run("ROLLBACK"), "COMPLETE -|READY I -");
    EXPECT_TRUE(returning->is_closed_by_daemon());
    const auto not_begun = unstarted->run("STORE d 1");
    EXPECT_TRUE(not_begun.starts_with("ERROR ABORTED ")) << not_begun;
    EXPECT_TRUE(unstarted->run("COMMIT").starts_with("ERROR ABORTED "));
    EXPECT_TRUE(unstarted->is_closed_by_daemon());
    EXPECT_NE(other->run("COMMIT").find("|READY I "), std::string::npos);
    EXPECT_FALSE(fleet_->has_reached_a_database("STORE a 2"));
    EXPECT_FALSE(fleet_->has_reached_a_database("STORE d 1"));
    EXPECT_EQ(tenants_that_ran("COMMIT"), by_sava);
}

// Guards against a transaction that stays open because one of its statements was under way when the key was
// withdrawn.
TEST_F(tenants, RollsBackATransactionThatWasBusyDuringTheWithdrawal) {
    start(7);
    const auto client = open_transaction(koro_key, "STORE a 1");
    delay_answers(milliseconds{1'500});
    ASSERT_TRUE(client->send("STORE a 2"));
    ASSERT_TRUE(holds_within(check_limit, [this] { return fleet_->has_reached_a_database("STORE a 2"); }));
    fleet_->publish_tenants(first_version + 1, only_sava);
    ASSERT_TRUE(uses(first_version + 1));
    // The check of the sessions runs while the statement is under way.
    std::this_thread::sleep_for(milliseconds{500});
    EXPECT_NE(client->read_response().find("|READY T "), std::string::npos);
    delay_answers(milliseconds{0});
    EXPECT_TRUE(holds_within(check_limit, [this] { return tenants_that_ran("ROLLBACK").size() == 1U; }));
    EXPECT_TRUE(client->run("COMMIT").starts_with("ERROR ABORTED "));
    EXPECT_TRUE(client->is_closed_by_daemon());
}

// Guards against statements that wait in the queue and run after the key of their client was withdrawn or
// moved, although the daemon already uses the new configuration for others.
TEST_F(tenants, RefusesQueuedStatementsOfAWithdrawnKey) {
    start(8);
    const auto single = open("payouts", koro_key);
    const auto transaction = open("payouts", koro_key);
    const auto other = open("payouts", sava_key);
    EXPECT_TRUE(other->run("STORE a 0").starts_with("COMPLETE sig."));
    EXPECT_EQ(transaction->run("BEGIN"), "COMPLETE -|READY T -");
    fleet_->run_on_stand_in_thread([](session_fleet& fixture) { fixture.database(0).crash(); });
    // The daemon sees that its connections have ended.
    std::this_thread::sleep_for(milliseconds{100});
    ASSERT_TRUE(single->send("STORE a 1"));
    ASSERT_TRUE(transaction->send("STORE a 2"));
    ASSERT_TRUE(other->send("STORE a 3"));
    fleet_->publish_tenants(first_version + 1, only_sava);
    ASSERT_TRUE(uses(first_version + 1));
    bool was_replaced = false;
    fleet_->run_on_stand_in_thread(
        [&](session_fleet& fixture) { was_replaced = !fixture.promotions().empty(); });
    ASSERT_FALSE(was_replaced) << "the statements did not wait for the new version";
    EXPECT_TRUE(other->read_response().starts_with("COMPLETE sig."));
    const auto refused = single->read_response();
    EXPECT_TRUE(refused.starts_with("ERROR UNAUTH ")) << refused;
    EXPECT_TRUE(single->is_closed_by_daemon());
    const auto aborted = transaction->read_response();
    EXPECT_TRUE(aborted.starts_with("ERROR ABORTED ")) << aborted;
    EXPECT_TRUE(transaction->run("COMMIT").starts_with("ERROR ABORTED "));
    EXPECT_TRUE(transaction->is_closed_by_daemon());
    EXPECT_FALSE(fleet_->has_reached_a_database("STORE a 1"));
    EXPECT_FALSE(fleet_->has_reached_a_database("STORE a 2"));
}

TEST_F(tenants, RunsNoQueuedStatementUnderTheFormerTenantOfAKey) {
    start(9);
    const auto single = open("payouts", koro_key);
    ASSERT_FALSE(names_given_to_databases().contains("koro7"));
    delay_answers(apply_limit + check_limit);
    ASSERT_TRUE(single->send("STORE a 1"));
    // The connection that the statement waits for shows the tenant that the statement was queued under.
    ASSERT_TRUE(holds_within(check_limit, [this] { return names_given_to_databases().contains("koro7"); }));
    fleet_->publish_tenants(first_version + 1, moved);
    ASSERT_TRUE(uses(first_version + 1));
    delay_answers(milliseconds{0});
    const auto response = single->read_response();
    EXPECT_TRUE(response.starts_with("ERROR THROTTLED ")) << response;
    EXPECT_FALSE(fleet_->has_reached_a_database("STORE a 1"));
    EXPECT_TRUE(single->run("STORE a 2").starts_with("COMPLETE sig."));
    EXPECT_EQ(tenants_that_ran("STORE a 2"), by_sava);
}

// Guards against a tenant without keys, or one that was dropped, whose clients are still served.
TEST_F(tenants, EndsTheSessionsOfATenantWithoutKeys) {
    start(10);
    for (const std::string& left :
         {R"([{"name":"koro7","api-keys":[]},)" + sava + "]", only_sava, std::string{"[]"}}) {
        const auto version = first_version + 1 + (left == only_sava ? 2 : 0) + (left == "[]" ? 4 : 0);
        const auto client = open("payouts", koro_key);
        const auto other = open("payouts", sava_key);
        ASSERT_EQ(client->greeting(), "READY I -");
        fleet_->publish_tenants(version, left);
        EXPECT_TRUE(ends_within(*client, apply_limit)) << left;
        EXPECT_TRUE(open("payouts", koro_key)->greeting().starts_with("ERROR UNAUTH ")) << left;
        EXPECT_EQ(ends_within(*other, check_limit), left == "[]") << left;
        fleet_->publish_tenants(version + 1, both);
        EXPECT_TRUE(uses(version + 1));
    }
}

// Guards against a session that goes on as the former tenant of its key.
TEST_F(tenants, RunsTheNextOperationAsTheTenantThatTheKeyMovedTo) {
    start(11);
    const auto idle = open("payouts", koro_key);
    EXPECT_TRUE(idle->run("STORE a 1").starts_with("COMPLETE sig."));
    const auto open = open_transaction(koro_key, "STORE a 2");
    fleet_->publish_tenants(first_version + 1, moved);
    EXPECT_TRUE(holds_within(apply_limit, [this] { return tenants_that_ran("ROLLBACK") == by_koro; }));
    EXPECT_TRUE(idle->run("STORE a 3").starts_with("COMPLETE sig."));
    EXPECT_TRUE(open->run("STORE a 4").starts_with("ERROR ABORTED "));
    EXPECT_TRUE(open->run("COMMIT").starts_with("ERROR ABORTED "));
    EXPECT_TRUE(open->run("STORE a 5").starts_with("COMPLETE sig."));
    EXPECT_EQ(tenants_that_ran("STORE a 1"), by_koro);
    EXPECT_EQ(tenants_that_ran("STORE a 3"), by_sava);
    EXPECT_EQ(tenants_that_ran("STORE a 5"), by_sava);
    EXPECT_FALSE(fleet_->has_reached_a_database("STORE a 4"));
    EXPECT_TRUE(tenants_that_ran("COMMIT").empty());
}

// Guards against a key that is refused although a version with it has been in force for long enough.
TEST_F(tenants, AdmitsAKeyThatAVersionAdds) {
    start(12);
    fleet_->publish_tenants(first_version + 1, only_sava);
    ASSERT_TRUE(uses(first_version + 1));
    boost::asio::io_context context;
    boost::asio::ip::tcp::socket connected{context};
    connected.connect({boost::asio::ip::make_address("127.0.0.1"), fleet_->client_port(daemon_)});
    EXPECT_TRUE(open("payouts", koro_key)->greeting().starts_with("ERROR UNAUTH "));
    fleet_->publish_tenants(first_version + 2, both);
    EXPECT_TRUE(
        holds_within(apply_limit, [this] { return open("payouts", koro_key)->greeting() == "READY I -"; }));
    // Its client connected before the version and starts its session after it.
    boost::asio::write(connected, boost::asio::buffer("START payouts " + koro_key + "\r\n"));
    std::string greeting;
    boost::asio::read_until(connected, boost::asio::dynamic_buffer(greeting), "\r\n");
    EXPECT_EQ(greeting, "READY I -\r\n");
}

// Guards against a daemon that serves a withdrawn key after its start, before it has read the configuration.
TEST_F(tenants, UsesNoWithdrawnKeyAfterARestart) {
    start(13);
    EXPECT_TRUE(open("payouts", koro_key)->run("STORE a 1").starts_with("COMPLETE sig."));
    fleet_->signal_daemon(daemon_, SIGKILL);
    EXPECT_EQ(fleet_->wait_for_exit(daemon_), std::nullopt);
    fleet_->publish_tenants(first_version + 1, only_sava);
    fleet_->run_on_stand_in_thread([](session_fleet& fixture) { fixture.store().set_refusing(true); });
    daemon_ = fleet_->start_daemon();
    std::string greeting;
    ASSERT_TRUE(eventually([&] {
        try {
            greeting = open("payouts", koro_key)->greeting();
            return true;
        } catch (const boost::system::system_error&) {
            return false;
        }
    }));
    EXPECT_TRUE(greeting.starts_with("ERROR THROTTLED ")) << greeting;
    fleet_->run_on_stand_in_thread([](session_fleet& fixture) { fixture.store().set_refusing(false); });
    ASSERT_TRUE(fleet_->becomes_ready(daemon_));
    EXPECT_TRUE(open("payouts", koro_key)->greeting().starts_with("ERROR UNAUTH "));
    EXPECT_EQ(open("payouts", sava_key)->greeting(), "READY I -");
    EXPECT_TRUE(eventually(
        [this] { return open("payouts", sava_key)->run("STORE a 2").starts_with("COMPLETE sig."); }));
}

// Guards against a daemon that refuses all keys, or admits any, while the store does not respond.
TEST_F(tenants, KeepsTheLastKeysWhileTheStoreIsAway) {
    start(14);
    const auto client = open("payouts", koro_key);
    fleet_->run_on_stand_in_thread([](session_fleet& fixture) { fixture.store().set_refusing(true); });
    // The stand-in still answers the watch that it had accepted, which ends within 2.5 s.
    std::this_thread::sleep_for(std::chrono::seconds{3});
    fleet_->publish_tenants(first_version + 1, only_sava);
    std::this_thread::sleep_for(check_limit);
    EXPECT_FALSE(client->has_ended());
    EXPECT_EQ(open("payouts", koro_key)->greeting(), "READY I -");
    EXPECT_EQ(open("payouts", sava_key)->greeting(), "READY I -");
    EXPECT_TRUE(open("payouts", "unknown")->greeting().starts_with("ERROR UNAUTH "));
    fleet_->run_on_stand_in_thread([](session_fleet& fixture) { fixture.store().set_refusing(false); });
    EXPECT_TRUE(ends_within(*client, apply_limit));
    EXPECT_TRUE(open("payouts", koro_key)->greeting().starts_with("ERROR UNAUTH "));
}

// Guards against a key in the log or the metrics of a daemon.
TEST_F(tenants, DisclosesNoKeyInItsOutput) {
    const auto log_path = ::testing::TempDir() + "tenants_" + std::to_string(first_port) + ".log";
    start(15, log_path);
    const std::string unknown_key = "v9unknownkey0fnob0dy";
    const auto idle = open("payouts", koro_key);
    const auto busy = open_transaction(koro_key, "STORE a 1");
    EXPECT_TRUE(open("notices", unknown_key)->run("STORE a 2").starts_with("COMPLETE sig."));
    const auto refusal = open("payouts", unknown_key)->greeting();
    EXPECT_TRUE(refusal.starts_with("ERROR UNAUTH ")) << refusal;
    EXPECT_TRUE(open("nowhere", unknown_key)->greeting().starts_with("ERROR NODB "));
    EXPECT_TRUE(open("payouts", sava_key)->run("START payouts x").starts_with("ERROR MALFORMED"));
    fleet_->publish_tenants(first_version + 1, R"([{"name":"koro7","api-keys":[")" + koro_key + R"(",7]}])");
    fleet_->publish_tenants(first_version + 2, only_sava);
    EXPECT_TRUE(ends_within(*idle, apply_limit));
    EXPECT_TRUE(busy->run("COMMIT").starts_with("ERROR ABORTED "));
    auto text = fleet_->metrics(daemon_);
    EXPECT_NE(text.find("sassafrasdeal_sessions_unauthorised_total 1\n"), std::string::npos);
    fleet_->signal_daemon(daemon_, SIGTERM);
    EXPECT_EQ(fleet_->wait_for_exit(daemon_), 0);
    std::ifstream log{log_path};
    const std::string logged{std::istreambuf_iterator<char>{log}, {}};
    EXPECT_NE(logged.find("routes_changed"), std::string::npos);
    EXPECT_NE(logged.find("statement_done"), std::string::npos);
    EXPECT_NE(logged.find("session_unauthorised database=payouts configuration=4"), std::string::npos);
    EXPECT_NE(logged.find("session_revoked database=payouts tenant=koro7"), std::string::npos);
    EXPECT_NE(logged.find("transaction_given_up database=payouts reason=key"), std::string::npos);
    text += logged + refusal;
    for (const auto& name : names_given_to_databases()) {
        text += name + "\n";
    }
    for (const auto& key : {koro_key, sava_key, unknown_key}) {
        EXPECT_EQ(text.find(key), std::string::npos) << key;
    }
}

} // namespace
