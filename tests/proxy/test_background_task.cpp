#include <proxy/background_task.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

#include <gtest/gtest.h>

#include <atomic>
#include <stdexcept>

namespace {

// Guards against a process that ends because of one unexpected error in a coroutine that nobody awaits.
TEST(background_task, StartsAgainAfterAnException) {
    boost::asio::io_context context;
    std::atomic<std::uint64_t> failures{0};
    int starts = 0;
    const proxy::task_failure_log log{"test", failures};
    auto task = [&starts]() -> boost::asio::awaitable<void> {
        ++starts;
        if (starts < 3) {
            throw std::runtime_error{"unexpected"};
        }
        co_return;
    };
    boost::asio::co_spawn(context, proxy::run_until_stopped(task, log), log);
    context.run();
    EXPECT_EQ(starts, 3);
    EXPECT_EQ(failures.load(), 2U);
}

TEST(background_task, CountsOnlyFailures) {
    std::atomic<std::uint64_t> failures{0};
    const proxy::task_failure_log log{"test", failures};
    log(nullptr);
    EXPECT_EQ(failures.load(), 0U);
    log(std::make_exception_ptr(7));
    EXPECT_EQ(failures.load(), 1U);
}

} // namespace
