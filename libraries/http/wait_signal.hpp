#pragma once

#include <base/clock.hpp>

#include <boost/asio/awaitable.hpp>

#include <cstddef>
#include <list>

namespace http {

/// A condition variable for the coroutines of one thread.
///
/// A waiter checks its condition, waits, and checks it again, because wakeups can be spurious. Waiting does
/// not block the thread. Thread safety: used by one thread only. Lifetime: outlives its waiters.
class wait_signal {
public:
    /// Suspends until a notification or until `timeout` has passed.
    [[nodiscard]] boost::asio::awaitable<void> wait_for(base::clock::duration timeout);

    /// Suspends until a notification; wakes up at least once a day without one.
    [[nodiscard]] boost::asio::awaitable<void> wait();

    /// Resumes the longest-waiting coroutine, if any.
    void notify_one();

    /// Resumes all waiting coroutines.
    void notify_all();

    /// Returns the number of waiting coroutines.
    [[nodiscard]] std::size_t waiters() const noexcept { return waiters_.size(); }

private:
    struct waiter;
    std::list<waiter*> waiters_;
};

} // namespace http
