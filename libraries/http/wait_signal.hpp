#pragma once

#include <base/clock.hpp>

#include <boost/asio/awaitable.hpp>

#include <cstddef>
#include <list>

namespace http {

/// Lets coroutines of one thread wait until another coroutine of that thread reports a change.
///
/// A waiter checks its condition, waits, and checks again; no thread is held. Thread safety: used by one
/// thread only. Lifetime: outlives its waiters.
class wait_signal {
public:
    /// Suspends until a notification or until `limit` has passed.
    [[nodiscard]] boost::asio::awaitable<void> wait_for(base::clock::duration limit);

    /// Suspends until a notification.
    [[nodiscard]] boost::asio::awaitable<void> wait();

    /// Resumes the waiter that has waited longest.
    void notify_one();

    /// Resumes every waiter.
    void notify_all();

    /// Returns how many coroutines wait.
    [[nodiscard]] std::size_t waiters() const noexcept { return waiters_.size(); }

private:
    struct waiter;
    std::list<waiter*> waiters_;
};

} // namespace http
