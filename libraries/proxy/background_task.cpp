#include <proxy/background_task.hpp>

#include <base/clock.hpp>
#include <base/event.hpp>
#include <http/sleep.hpp>
#include <proxy/events.hpp>

#include <utility>

namespace proxy {

namespace {

// Keeps a task that fails at once from spinning.
constexpr base::clock::duration restart_delay{200};

std::string message_of(const std::exception_ptr& failure) {
    try {
        std::rethrow_exception(failure);
    } catch (const std::exception& error) {
        return error.what();
    } catch (...) {
        return "unknown exception";
    }
}

} // namespace

task_failure_log::task_failure_log(std::string task, std::atomic<std::uint64_t>& total) noexcept
    : task_{std::move(task)}, total_{&total} {}

void task_failure_log::operator()(const std::exception_ptr& failure) const {
    if (failure) {
        total_->fetch_add(1, std::memory_order_relaxed);
        base::log_event(events::task_failed, {{"task", task_}, {"reason", message_of(failure)}});
    }
}

boost::asio::awaitable<void> run_until_stopped(std::function<boost::asio::awaitable<void>()> task,
                                               task_failure_log failures) {
    for (;;) {
        std::exception_ptr failure;
        try {
            co_await task();
        } catch (...) {
            failure = std::current_exception();
        }
        if (!failure) {
            co_return;
        }
        failures(failure);
        co_await http::sleep_for(restart_delay);
    }
}

} // namespace proxy
