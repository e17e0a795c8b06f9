#include <proxy/retry_delay.hpp>

#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <chrono>

namespace {

namespace asio = boost::asio;

const base::error unavailable{base::error_kind::platform_unavailable, "the store does not answer"};
constexpr platform::backoff_limits short_delays{base::clock::duration{1}, base::clock::duration{1}};
// Longer than the test runs.
constexpr platform::backoff_limits long_delays{base::clock::duration{3'600'000},
                                               base::clock::duration{3'600'000}};

asio::awaitable<void> wait_once(proxy::retry_delay& delay, bool& is_over) {
    co_await delay.wait_after_failure(unavailable);
    is_over = true;
}

asio::awaitable<void> fail_and_succeed(proxy::retry_delay& delay) {
    co_await delay.wait_after_failure(unavailable);
    delay.record_success();
}

// Guards against a slow start after an outage of the store: once one call succeeds, the other calls must not
// wait for the end of their own delays. This took each daemon 0.2 s to 0.9 s after a power loss.
TEST(retry_delay, EndsTheOtherDelaysWhenACallSucceedsAgain) {
    http::wait_signal store_recovered;
    asio::io_context context;
    proxy::retry_delay failing{"configuration", store_recovered, long_delays};
    proxy::retry_delay recovering{"fleet", store_recovered, short_delays};
    bool is_over = false;
    asio::co_spawn(context, wait_once(failing, is_over), asio::detached);
    asio::co_spawn(context, fail_and_succeed(recovering), asio::detached);
    context.run_for(std::chrono::seconds{20});
    EXPECT_TRUE(is_over);
}

// Guards against retrying without a delay: the success of a call that had not failed must not end the delays
// of the other calls.
TEST(retry_delay, KeepsWaitingWhileNoFailedCallSucceedsAgain) {
    http::wait_signal store_recovered;
    asio::io_context context;
    proxy::retry_delay failing{"configuration", store_recovered, long_delays};
    proxy::retry_delay recovering{"fleet", store_recovered, short_delays};
    bool is_over = false;
    asio::co_spawn(context, wait_once(failing, is_over), asio::detached);
    context.poll();
    recovering.record_success();
    context.poll();
    EXPECT_FALSE(is_over);
}

} // namespace
