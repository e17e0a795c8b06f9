#include <http/server.hpp>
#include <platform/store_client.hpp>
#include <stand_ins/platform/platform_server.hpp>
#include <tests/stand_ins/conversation.hpp>

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>

namespace {

namespace asio = boost::asio;
using platform::store_client;

const base::endpoint local{"127.0.0.1", 19'521};

// Named, because g++ 12 has faults with braced temporaries inside co_await expressions.
const platform::stored_value value_one{true, "one", 1};
const platform::stored_value value_two{true, "two", 2};
const platform::stored_value value_other{true, "other", 2};
const platform::put_result applied_at_one{true, 1};
const platform::put_result applied_at_two{true, 2};
const platform::put_result refused_at_one{false, 1};
const std::string one_response = R"({"count":1})";
const std::string empty_object = "{}";

struct platform_handler {
    std::shared_ptr<stand_ins::platform::platform_server> server_;

    asio::awaitable<http::response> operator()(http::request message, std::size_t /*connection*/) {
        return server_->answer(std::move(message));
    }
};

// Runs calls of a client against the stand-in and returns when they are done.
void run_against_platform(const std::function<asio::awaitable<void>(store_client&)>& calls) {
    asio::io_context context;
    auto socket = http::listener::open(context.get_executor(), local);
    ASSERT_TRUE(socket);
    const stand_ins::platform::platform_settings settings{};
    const platform_handler handler{std::make_shared<stand_ins::platform::platform_server>(settings)};
    std::make_shared<http::server<platform_handler>>(context.get_executor(), std::move(*socket), handler,
                                                     http::limits{}, nullptr, 100)
        ->start();
    const platform::backoff_limits short_pauses{base::clock::duration{1}, base::clock::duration{2}};
    store_client client{local, base::clock::duration{2'000}, 20261204, short_pauses};
    bool finished = false;
    asio::co_spawn(context, calls(client), [&](std::exception_ptr failure) {
        finished = !failure;
        context.stop();
    });
    context.run_for(std::chrono::seconds{20});
    EXPECT_TRUE(finished);
}

asio::awaitable<void> control(std::string path, std::string body) {
    std::vector<tests::conversation_step> steps{{1, std::move(path), std::move(body), "{}"}};
    co_await tests::hold_conversation(local, std::move(steps));
}

asio::awaitable<void> expect_put(store_client& client, std::string value, std::uint64_t expected_revision,
                                 platform::put_result expected) {
    const auto put = co_await client.put_if("k", std::move(value), expected_revision);
    EXPECT_EQ(put.value(), expected);
}

asio::awaitable<void> expect_value(store_client& client, platform::stored_value expected) {
    const auto value = co_await client.get("k");
    EXPECT_EQ(value.value(), expected);
}

asio::awaitable<void> expect_error(store_client& client, std::uint64_t expected_revision,
                                   base::error_kind kind) {
    const auto put = co_await client.put_if("k", "other", expected_revision);
    EXPECT_FALSE(put);
    EXPECT_EQ(put ? base::error_kind::internal : put.last_reason().kind(), kind);
}

asio::awaitable<void> lose_an_answer(store_client& client) {
    co_await expect_put(client, "one", 0, applied_at_one);
    co_await expect_put(client, "two", 0, refused_at_one);
    co_await control("/control/lose_answers", one_response);
    co_await expect_error(client, 1, base::error_kind::answer_lost);
    co_await expect_value(client, value_other);
}

asio::awaitable<void> watch_until(store_client& client, platform::stored_value expected, int& answered) {
    const auto value = co_await client.watch("k", 1, base::clock::duration{5'000});
    EXPECT_EQ(value.value(), expected);
    ++answered;
}

asio::awaitable<void> wake_all_watches(store_client& client) {
    const auto executor = co_await asio::this_coro::executor;
    co_await expect_put(client, "one", 0, applied_at_one);
    int answered = 0;
    for (int watcher = 0; watcher < 3; ++watcher) {
        asio::co_spawn(executor, watch_until(client, value_two, answered), asio::detached);
    }
    co_await http::sleep_for(base::clock::duration{50});
    co_await expect_put(client, "two", 1, applied_at_two);
    co_await http::sleep_for(base::clock::duration{50});
    EXPECT_EQ(answered, 3);
}

asio::awaitable<void> outlive_an_outage(store_client& client) {
    co_await expect_put(client, "one", 0, applied_at_one);
    co_await control("/control/outage", empty_object);
    co_await expect_error(client, 1, base::error_kind::answer_lost);
    const auto read = co_await client.get("k");
    EXPECT_FALSE(read);
    co_await control("/control/heal", empty_object);
    co_await expect_value(client, value_one);
}

} // namespace

// Guards against a client and a stand-in that read the protocol differently, and a lost answer whose change
// is lost too.
TEST(platform_server, lost_response_leaves_its_change) {
    run_against_platform(lose_an_answer);
}

// Guards against a change that wakes only some of the watches of a key.
TEST(platform_server, change_answers_every_watch) {
    run_against_platform(wake_all_watches);
}

// Guards against an outage that applies changes, or after which the client does not come back.
TEST(platform_server, outage_applies_nothing) {
    run_against_platform(outlive_an_outage);
}
