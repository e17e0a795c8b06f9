#include <http/client_connection.hpp>
#include <http/server.hpp>

#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
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

std::shared_ptr<echo_server> start_echo_server(asio::io_context& context, http::limits connection_limits) {
    auto socket = http::listener::open(context.get_executor(), local);
    EXPECT_TRUE(socket);
    auto created = std::make_shared<echo_server>(context.get_executor(), std::move(*socket), echo_handler{},
                                                 connection_limits, nullptr, 100);
    created->start();
    return created;
}

// Runs a coroutine against an echo server until it has finished.
template <typename Body>
void run_with_echo_server(http::limits connection_limits, Body body) {
    asio::io_context context;
    auto running = start_echo_server(context, connection_limits);
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

// Guards against keep-alive connections that lose responses or assign them to other requests.
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

// Guards against reuse of a connection whose response is still pending: a late response must not be taken
// for the response to the next request.
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

// Guards against unbounded memory use for an oversized body; the caller receives a typed error.
// Guards against a request that arrives after its sender has given it up, such as a promotion call that a
// network partition held back (review/13): closing the socket alone lets the kernel send on.
TEST(http, a_request_that_timed_out_is_reset) {
    asio::io_context context;
    asio::ip::tcp::acceptor acceptor{context, {asio::ip::make_address(local.address()), local.port()}};
    boost::system::error_code failure;
    asio::co_spawn(
        context,
        [&]() -> asio::awaitable<void> {
            auto connection = co_await http::client_connection::connect(local, time_limit);
            EXPECT_TRUE(connection);
            auto accepted = co_await acceptor.async_accept(asio::use_awaitable);
            http::request message{{.method_ = "POST", .target_ = "/"}};
            const auto response =
                co_await connection->exchange(std::move(message), base::clock::duration{50});
            EXPECT_FALSE(response);
            std::string input;
            while (!failure) {
                co_await asio::async_read(accepted, asio::dynamic_buffer(input), asio::transfer_at_least(1),
                                          asio::redirect_error(asio::use_awaitable, failure));
            }
        },
        asio::detached);
    context.run_for(std::chrono::seconds{20});
    EXPECT_EQ(failure, asio::error::connection_reset);
}

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

// Guards against a drain that aborts the request in progress.
TEST(http, drain_finishes_the_request_in_progress) {
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

// Guards against a drain that drops a request which has arrived on an idle connection but has not been read
// yet, or whose connection is still in the listener's backlog.
TEST(http, drain_serves_requests_that_have_arrived_on_idle_and_new_connections) {
    run_with_echo_server({}, [](echo_server& running) -> asio::awaitable<void> {
        const auto executor = co_await asio::this_coro::executor;
        auto idle_connection = co_await http::client_connection::connect(local, time_limit);
        auto first = http::json_post("/echo", "first");
        const auto first_response = co_await idle_connection->exchange(first, time_limit);
        EXPECT_TRUE(first_response);
        int responses_received = 0;
        asio::co_spawn(
            executor,
            [&]() -> asio::awaitable<void> {
                auto message = http::json_post("/slow", "kept");
                const auto response = co_await idle_connection->exchange(message, time_limit);
                responses_received += response && (*response)->body_ == "kept" ? 1 : 0;
            },
            asio::detached);
        asio::ip::tcp::socket raw{executor};
        raw.connect({asio::ip::make_address(local.address()), local.port()});
        const std::string text = "POST /echo HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nnew";
        asio::write(raw, asio::buffer(text));
        // The request on the idle connection is written when this coroutine suspends. Both requests have
        // arrived and neither has been read when the drain starts.
        asio::post(executor, [&running] { running.drain(); });
        std::string received(4096, ' ');
        const auto count = co_await raw.async_read_some(asio::buffer(received), asio::use_awaitable);
        EXPECT_NE(received.substr(0, count).find("new"), std::string::npos);
        EXPECT_NE(received.substr(0, count).find("Connection: close"), std::string::npos);
        co_await http::sleep_for(base::clock::duration{400});
        EXPECT_EQ(responses_received, 1);
    });
}

// Guards against malformed or incomplete requests that keep their connections open or affect other clients.
TEST(http, malformed_and_stalled_requests_are_closed_without_affecting_others) {
    const http::limits connection_limits{.transfer_timeout_ = base::clock::duration{100}};
    run_with_echo_server(connection_limits, [](echo_server& running) -> asio::awaitable<void> {
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
        EXPECT_TRUE(ended) << "the stalled connection was not closed";
        co_await http::sleep_for(base::clock::duration{50});
        EXPECT_EQ(running.open_connections(), 1U);
    });
}
