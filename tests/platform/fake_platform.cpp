#include <tests/platform/fake_platform.hpp>

#include <http/server.hpp>

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>

#include <exception>
#include <memory>
#include <stdexcept>

namespace tests {

namespace asio = boost::asio;

namespace {

struct scripted_handler {
    std::shared_ptr<std::deque<scripted_response>> script_;
    std::shared_ptr<seen_requests> seen_;

    asio::awaitable<http::response> operator()(http::request message, std::size_t /*connection*/) {
        seen_->push_back(message->target_ + " " + message->body_);
        scripted_response next{.status_ = 500};
        if (!script_->empty()) {
            next = std::move(script_->front());
            script_->pop_front();
        }
        if (next.is_lost_) {
            throw std::runtime_error{"the answer is lost on purpose"};
        }
        http::response_fields response{next.status_, std::move(next.headers_), std::move(next.body_)};
        co_return response;
    }
};

using scripted_server = http::server<scripted_handler>;

} // namespace

seen_requests run_against_fake_platform(std::deque<scripted_response> script, const client_calls& calls) {
    const base::endpoint local{"127.0.0.1", 19'530};
    asio::io_context context;
    auto socket = http::listener::open(context.get_executor(), local);
    EXPECT_TRUE(socket);
    const scripted_handler handler{std::make_shared<std::deque<scripted_response>>(std::move(script)),
                                   std::make_shared<seen_requests>()};
    std::make_shared<scripted_server>(context.get_executor(), std::move(*socket), handler, http::limits{},
                                      nullptr, 100)
        ->start();
    const platform::backoff_limits short_pauses{base::clock::duration{1}, base::clock::duration{4}};
    platform::store_client client{local, base::clock::duration{2'000}, 20261204, short_pauses};
    bool finished = false;
    asio::co_spawn(context, calls(client), [&](std::exception_ptr failure) {
        finished = !failure;
        context.stop();
    });
    context.run_for(std::chrono::seconds{20});
    EXPECT_TRUE(finished);
    return *handler.seen_;
}

asio::awaitable<void> expect_put_error(platform::store_client& client, std::string value,
                                       base::error_kind kind) {
    const auto result = co_await client.put_if("k", std::move(value), 0);
    EXPECT_FALSE(result);
    EXPECT_EQ(result ? base::error_kind::internal : result.last_reason().kind(), kind);
}

} // namespace tests
