#include <platform/configuration_watcher.hpp>
#include <platform/store_client.hpp>
#include <tests/platform/fake_platform.hpp>

#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <string>
#include <utility>
#include <vector>

namespace {

namespace asio = boost::asio;
using platform::store_client;

const std::string value_one = R"({"found":true,"value":"one","revision":1})";
const std::string put_two = R"({"applied":true,"revision":2})";
const std::string lease_three = R"({"lease":3,"held":true})";
const std::string one_host = R"({"hosts":[{"address":"127.0.0.1:7001","state":"leaving"}]})";

asio::awaitable<void> make_changes(store_client& client) {
    const auto put = co_await client.put_if("k", "two", 1);
    EXPECT_EQ(put.value(), (platform::put_result{true, 2}));
    const auto leased = co_await client.put_if_with_lease("w", "me", 0, 3);
    EXPECT_EQ(leased.value(), (platform::put_result{true, 2}));
}

asio::awaitable<void> take_lease(store_client& client) {
    const auto lease = co_await client.lease(base::clock::duration{50});
    EXPECT_EQ(lease.value(), (platform::lease_state{3, true}));
    const auto renewed = co_await client.renew(3);
    EXPECT_EQ(renewed.value(), (platform::lease_state{3, true}));
}

asio::awaitable<void> read_values(store_client& client) {
    const auto value = co_await client.get("k");
    EXPECT_EQ(value.value(), (platform::stored_value{true, "one", 1}));
    const auto watched = co_await client.watch("k", 0, base::clock::duration{10});
    EXPECT_EQ(watched.value(), (platform::stored_value{true, "one", 1}));
    const auto hosts = co_await client.hosts();
    EXPECT_TRUE(hosts);
    EXPECT_EQ(hosts->size(), 1U);
}

asio::awaitable<void> call_every_path(store_client& client) {
    co_await make_changes(client);
    co_await take_lease(client);
    co_await read_values(client);
}

asio::awaitable<void> fail_in_every_way(store_client& client) {
    co_await tests::expect_put_error(client, "lost", base::error_kind::answer_lost);
    co_await tests::expect_put_error(client, "limited", base::error_kind::overloaded);
    co_await tests::expect_put_error(client, "broken", base::error_kind::answer_lost);
    const auto read = co_await client.get("k");
    EXPECT_EQ(read.last_reason().kind(), base::error_kind::platform_unavailable);
    const auto put = co_await client.put_if("k", "two", 1);
    EXPECT_EQ(put.value(), (platform::put_result{true, 2}));
}

// A store with scripted responses and no network.
struct scripted_store {
    std::vector<base::result<platform::stored_value>> responses_;
    std::vector<std::uint64_t> requested_revisions_;
    std::function<void()> on_end_;

    asio::awaitable<base::result<platform::stored_value>> get(std::string /*key*/) {
        co_return platform::stored_value{};
    }
    asio::awaitable<base::result<platform::put_result>> put_if(std::string /*key*/, std::string /*value*/,
                                                               std::uint64_t /*expected*/) {
        co_return platform::put_result{};
    }
    asio::awaitable<base::result<platform::stored_value>> watch(std::string /*key*/, std::uint64_t after,
                                                                base::clock::duration /*wait*/) {
        requested_revisions_.push_back(after);
        if (requested_revisions_.size() > responses_.size()) {
            on_end_();
            co_return platform::stored_value{};
        }
        co_return responses_[requested_revisions_.size() - 1];
    }
};

} // namespace

// Guards against requests and responses that differ from the documented protocol.
TEST(store_client, calls_follow_the_documented_protocol) {
    const auto received = tests::run_against_fake_platform({{.body_ = put_two},
                                                            {.body_ = put_two},
                                                            {.body_ = lease_three},
                                                            {.body_ = lease_three},
                                                            {.body_ = value_one},
                                                            {.body_ = value_one},
                                                            {.body_ = one_host}},
                                                           call_every_path);
    const tests::received_requests expected{
        R"(/v1/put_if {"key":"k","value":"two","expected_revision":1})",
        R"(/v1/put_if {"key":"w","value":"me","expected_revision":0,"lease":3})",
        R"(/v1/lease {"milliseconds":50})",
        R"(/v1/renew {"lease":3})",
        R"(/v1/get {"key":"k"})",
        R"(/v1/watch {"key":"k","after_revision":0,"milliseconds":10})",
        "/v1/hosts {}"};
    EXPECT_EQ(received, expected);
}

// Guards against a lost response that is reported as not applied, against a put that is silently retried,
// and against a client that does not reconnect after failures.
TEST(store_client, failures_are_classified_and_not_retried) {
    const auto received =
        tests::run_against_fake_platform({{.is_lost_ = true},
                                          {.status_ = 429, .headers_ = {{"Retry-After", "0"}}},
                                          {.body_ = "not JSON"},
                                          {.is_lost_ = true},
                                          {.body_ = put_two}},
                                         fail_in_every_way);
    EXPECT_EQ(received.size(), 5U);
}

// Guards against an unreachable store that is reported as a lost response: a put that was not sent is safe to
// retry.
TEST(store_client, put_to_an_unreachable_store_was_not_applied) {
    asio::io_context context;
    const base::endpoint nobody{"127.0.0.1", 19'539};
    store_client client{nobody, base::clock::duration{2'000}, 1, {}};
    bool finished = false;
    asio::co_spawn(context, tests::expect_put_error(client, "unsent", base::error_kind::platform_unavailable),
                   [&](std::exception_ptr failure) { finished = !failure; });
    context.run_for(std::chrono::seconds{20});
    EXPECT_TRUE(finished);
}

// Guards against a watcher that delivers an old or repeated revision, or that stops after a failure.
TEST(configuration_watcher, delivers_ascending_revisions_through_failures) {
    using platform::stored_value;
    const base::error failure{base::error_kind::platform_unavailable, "down"};
    scripted_store store{{stored_value{true, "five", 5}, failure, stored_value{true, "five", 5}, failure,
                          stored_value{true, "four", 4}, stored_value{}, stored_value{true, "nine", 9}}};
    std::vector<std::pair<std::uint64_t, std::string>> received;
    const platform::watch_settings settings{
        .key_ = "k", .backoff_ = {base::clock::duration{1}, base::clock::duration{2}}, .seed_ = 1};
    const auto receiver = [&](std::uint64_t revision, std::string text) {
        received.emplace_back(revision, std::move(text));
    };
    platform::configuration_watcher watcher{store, settings, receiver};
    store.on_end_ = [&] {
        watcher.stop();
    };
    asio::io_context context;
    asio::co_spawn(context, watcher.run(), asio::detached);
    context.run_for(std::chrono::seconds{20});
    const std::vector<std::pair<std::uint64_t, std::string>> expected{{5, "five"}, {9, "nine"}};
    EXPECT_EQ(received, expected);
    EXPECT_EQ(store.requested_revisions_, (std::vector<std::uint64_t>{0, 5, 5, 5, 5, 5, 5, 9}));
}
