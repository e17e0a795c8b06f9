#pragma once

#include <boost/asio/awaitable.hpp>

#include <atomic>
#include <cstdint>
#include <exception>
#include <functional>
#include <string>

namespace proxy {

/// Logs and counts the exceptions of coroutines that no other coroutine awaits. Without it, such an exception
/// would end the process. Thread safety: immutable; `total` outlives it and may be changed by any thread.
class task_failure_log {
public:
    task_failure_log(std::string task, std::atomic<std::uint64_t>& total) noexcept;

    /// Completion handler of a coroutine; `failure` is null if it ended normally.
    void operator()(const std::exception_ptr& failure) const;

private:
    std::string task_;
    std::atomic<std::uint64_t>* total_;
};

/// Runs a task that is meant to last until the process ends, and starts it again after an exception.
/// Precondition: what the task refers to outlives it. Thread safety: the executor of the caller.
[[nodiscard]] boost::asio::awaitable<void>
run_until_stopped(std::function<boost::asio::awaitable<void>()> task, task_failure_log failures);

} // namespace proxy
