#include <http/client_connection.hpp>
#include <http/server.hpp>

#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <memory>
#include <string>

namespace {

namespace asio = boost::asio;

constexpr base::clock::duration time_limit{5'000};
const base::endpoint local{"127.0.0.1", 19'101};

struct echo_handler {
    asio::awaitable<http::response> operator()(http::request message, std::size_t /*connection*/) {
        if (message->target_ == "/slow") {
            co_await http::sleep_for(base::clock::duration{200});
        }
        co_return http::json_response(200, message->body_);
    }
};

using echo_server = http::server<echo_handler>;

std::shared_ptr<echo_server> start_echo_server(asio::io_context& context, http::limits bounds) {
    auto socket = http::listener::open(context.get_executor(), local);
    EXPECT_TRUE(socket);
    auto created = std::make_shared<echo_server>(context.get_executor(), std::move(*socket), echo_handler{},
                                                 bounds, nullptr, 100);
    created->start();
    return created;
}

// Runs a coroutine against an echo server and returns when it is done.
template <typename Body>
void run_with_echo_server(http::limits bounds, Body body) {
    asio::io_context context;
    auto running = start_echo_server(context, bounds);
    bool finished = false;
    asio::co_spawn(
        context,
        [&]() -> asio::awaitable<void> {
            co_await body(*running);
            finished = true;
            running->close();
        },
        asio::detached);
    context.run_for(std::chrono::seconds{20});
    EXPECT_TRUE(finished);
}

} // namespace

// Guards against keep-alive connections that mix up or lose answers.
TEST(http, one_connection_carries_many_exchanges) {
    run_with_echo_server({}, [](echo_server&) -> asio::awaitable<void> {
        auto connection = co_await http::client_connection::connect(local, time_limit);
        EXPECT_TRUE(connection);
        for (int number = 0; number < 20; ++number) {
            auto message = http::json_post("/echo", std::to_string(number));
            auto response = co_await connection->exchange(message, time_limit);
            EXPECT_TRUE(response);
            EXPECT_EQ((*response)->body_, std::to_string(number));
        }
    });
}

// Guards against reuse of a connection whose answer is still under way: a late answer must not reach the next
// caller.
TEST(http, connection_is_unusable_after_a_timeout) {
    run_with_echo_server({}, [](echo_server&) -> asio::awaitable<void> {
        auto connection = co_await http::client_connection::connect(local, time_limit);
        auto message = http::json_post("/slow", "1");
        const auto response = co_await connection->exchange(message, base::clock::duration{20});
        EXPECT_FALSE(response);
        EXPECT_EQ(response.last_reason().kind(), base::error_kind::timeout);
        EXPECT_FALSE(connection->is_usable());
    });
}

// Guards against unbounded memory for an oversized body; the caller gets a typed error.
TEST(http, oversized_body_is_refused_with_a_typed_error) {
    run_with_echo_server({.body_bytes_ = 100}, [](echo_server&) -> asio::awaitable<void> {
        auto connection = co_await http::client_connection::connect(local, time_limit);
        auto message = http::json_post("/echo", std::string(101, 'x'));
        const auto response = co_await connection->exchange(message, time_limit);
        EXPECT_TRUE(response);
        EXPECT_EQ((*response)->status_, 413U);
        EXPECT_NE((*response)->body_.find("too_large"), std::string::npos);
    });
}

// Guards against a drain that cuts off the request in flight.
TEST(http, drain_finishes_the_request_in_flight) {
    run_with_echo_server({}, [](echo_server& running) -> asio::awaitable<void> {
        auto connection = co_await http::client_connection::connect(local, time_limit);
        asio::co_spawn(
            co_await asio::this_coro::executor,
            [&running]() -> asio::awaitable<void> {
                co_await http::sleep_for(base::clock::duration{50});
                running.drain();
            },
            asio::detached);
        auto message = http::json_post("/slow", "kept");
        const auto response = co_await connection->exchange(message, time_limit);
        EXPECT_TRUE(response);
        EXPECT_EQ((*response)->body_, "kept");
        EXPECT_FALSE(connection->is_usable());
        const auto refused = co_await http::client_connection::connect(local, time_limit);
        EXPECT_FALSE(refused);
    });
}

// Guards against a drain that cuts off a request which has arrived on an idle connection but was not read
// yet, or one whose connection still waits in the backlog.
TEST(http, drain_answers_requests_that_have_arrived_on_idle_and_new_connections) {
    run_with_echo_server({}, [](echo_server& running) -> asio::awaitable<void> {
        const auto executor = co_await asio::this_coro::executor;
        auto kept = co_await http::client_connection::connect(local, time_limit);
        auto first = http::json_post("/echo", "first");
        const auto warm = co_await kept->exchange(first, time_limit);
        EXPECT_TRUE(warm);
        int answered = 0;
        asio::co_spawn(
            executor,
            [&]() -> asio::awaitable<void> {
                auto message = http::json_post("/slow", "kept");
                const auto response = co_await kept->exchange(message, time_limit);
                answered += response && (*response)->body_ == "kept" ? 1 : 0;
            },
            asio::detached);
        asio::ip::tcp::socket raw{executor};
        raw.connect({asio::ip::make_address(local.address()), local.port()});
        const std::string text = "POST /echo HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nnew";
        asio::write(raw, asio::buffer(text));
        // The request on the kept connection is written when this coroutine suspends; both have arrived,
        // neither was read, when the drain comes.
        asio::post(executor, [&running] { running.drain(); });
        std::string received(4096, ' ');
        const auto count = co_await raw.async_read_some(asio::buffer(received), asio::use_awaitable);
        EXPECT_NE(received.substr(0, count).find("new"), std::string::npos);
        EXPECT_NE(received.substr(0, count).find("Connection: close"), std::string::npos);
        co_await http::sleep_for(base::clock::duration{400});
        EXPECT_EQ(answered, 1);
    });
}

// Guards against bytes that are not HTTP, or that stop half-way, holding memory or disturbing other callers.
TEST(http, malformed_and_stalled_requests_end_and_leave_others_alone) {
    const http::limits bounds{.transfer_timeout_ = base::clock::duration{100}};
    run_with_echo_server(bounds, [](echo_server& running) -> asio::awaitable<void> {
        const auto executor = co_await asio::this_coro::executor;
        asio::ip::tcp::socket garbage{executor};
        asio::ip::tcp::socket stalled{executor};
        for (auto* socket : {&garbage, &stalled}) {
            socket->connect({asio::ip::make_address(local.address()), local.port()});
        }
        asio::write(garbage, asio::buffer(std::string{"\x16\x03 not http at all\r\n\r\n"}));
        asio::write(stalled,
                    asio::buffer(std::string{"POST /echo HTTP/1.1\r\nContent-Length: 100\r\n\r\nhalf"}));
        std::string received(4096, ' ');
        const auto count = co_await garbage.async_read_some(asio::buffer(received), asio::use_awaitable);
        EXPECT_NE(received.substr(0, count).find("invalid_request"), std::string::npos);
        auto connection = co_await http::client_connection::connect(local, time_limit);
        auto message = http::json_post("/echo", "fine");
        const auto response = co_await connection->exchange(message, time_limit);
        EXPECT_TRUE(response);
        boost::system::error_code ended;
        co_await stalled.async_read_some(asio::buffer(received),
                                         asio::redirect_error(asio::use_awaitable, ended));
        EXPECT_TRUE(ended) << "the stalled request was not given up";
        co_await http::sleep_for(base::clock::duration{50});
        EXPECT_EQ(running.open_connections(), 1U);
    });
}
