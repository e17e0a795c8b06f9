#include <proxy/retry_pause.hpp>

#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <chrono>

namespace {

namespace asio = boost::asio;

const base::error unavailable{base::error_kind::platform_unavailable, "the store does not answer"};
constexpr platform::backoff_limits short_pauses{base::clock::duration{1}, base::clock::duration{1}};
// Longer than the test runs.
constexpr platform::backoff_limits long_pauses{base::clock::duration{3'600'000},
                                               base::clock::duration{3'600'000}};

asio::awaitable<void> wait_once(proxy::retry_pause& pause, bool& is_over) {
    co_await pause.wait_after_failure(unavailable);
    is_over = true;
}

asio::awaitable<void> fail_and_succeed(proxy::retry_pause& pause) {
    co_await pause.wait_after_failure(unavailable);
    pause.after_success();
}

// Guards against a slow start after an outage of the store: once one call succeeds, the other calls must not
// wait for the end of their own delays. This took each daemon 0.2 s to 0.9 s after a power loss.
TEST(retry_pause, EndsTheOtherPausesWhenACallWorksAgain) {
    http::wait_signal store_works;
    asio::io_context context;
    proxy::retry_pause waiting{"configuration", store_works, long_pauses};
    proxy::retry_pause working{"fleet", store_works, short_pauses};
    bool is_over = false;
    asio::co_spawn(context, wait_once(waiting, is_over), asio::detached);
    asio::co_spawn(context, fail_and_succeed(working), asio::detached);
    context.run_for(std::chrono::seconds{20});
    EXPECT_TRUE(is_over);
}

// Guards against retrying without a delay: the success of a call that had not failed must not end the delays
// of the other calls.
TEST(retry_pause, GoesOnWhileNoFailedCallWorksAgain) {
    http::wait_signal store_works;
    asio::io_context context;
    proxy::retry_pause waiting{"configuration", store_works, long_pauses};
    proxy::retry_pause working{"fleet", store_works, short_pauses};
    bool is_over = false;
    asio::co_spawn(context, wait_once(waiting, is_over), asio::detached);
    context.poll();
    working.after_success();
    context.poll();
    EXPECT_FALSE(is_over);
}

} // namespace
