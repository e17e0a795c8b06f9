#include <http/wait_signal.hpp>

#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <vector>

namespace {

boost::asio::awaitable<void> wait_and_note(http::wait_signal& signal, std::vector<int>& resumed, int number) {
    co_await signal.wait();
    resumed.push_back(number);
}

} // namespace

// Guards against a notification that is lost or that reaches the same waiter twice before it has resumed.
TEST(wait_signal, each_notification_resumes_another_waiter) {
    http::wait_signal signal;
    std::vector<int> resumed;
    boost::asio::io_context context;
    for (int number = 0; number < 4; ++number) {
        boost::asio::co_spawn(context, wait_and_note(signal, resumed, number), boost::asio::detached);
    }
    context.poll();
    signal.notify_one();
    signal.notify_one();
    context.poll();
    EXPECT_EQ(resumed, (std::vector<int>{0, 1}));
    signal.notify_all();
    context.poll();
    EXPECT_EQ(resumed, (std::vector<int>{0, 1, 2, 3}));
}

// Guards against a list that keeps waiters whose coroutines were destroyed when their executor ended.
TEST(wait_signal, destroyed_waiter_is_forgotten) {
    http::wait_signal signal;
    std::vector<int> resumed;
    {
        boost::asio::io_context context;
        boost::asio::co_spawn(context, wait_and_note(signal, resumed, 0), boost::asio::detached);
        context.poll();
        EXPECT_EQ(signal.waiters(), 1U);
    }
    EXPECT_EQ(signal.waiters(), 0U);
    signal.notify_all();
    EXPECT_TRUE(resumed.empty());
}
