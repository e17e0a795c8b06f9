#include <http/wait_signal.hpp>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

namespace http {

namespace asio = boost::asio;

// Removes itself from the list if its coroutine is destroyed or times out before it was notified.
struct wait_signal::waiter {
    waiter(wait_signal& signal, asio::steady_timer timer) : signal_{signal}, timer_{std::move(timer)} {
        signal_.waiters_.push_back(this);
    }
    ~waiter() {
        if (!is_notified_) {
            signal_.waiters_.remove(this);
        }
    }
    waiter(const waiter&) = delete;
    waiter& operator=(const waiter&) = delete;
    waiter(waiter&&) = delete;
    waiter& operator=(waiter&&) = delete;

    wait_signal& signal_;
    asio::steady_timer timer_;
    bool is_notified_ = false;
};

asio::awaitable<void> wait_signal::wait_for(base::clock::duration timeout) {
    waiter self{*this, asio::steady_timer{co_await asio::this_coro::executor, timeout}};
    boost::system::error_code ignored;
    co_await self.timer_.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

asio::awaitable<void> wait_signal::wait() {
    // The timer's clock cannot represent the maximum of `base::clock::duration`. A spurious wakeup is
    // harmless, because waiters check their condition again.
    constexpr base::clock::duration max_wait{std::chrono::hours{24}};
    return wait_for(max_wait);
}

void wait_signal::notify_one() {
    if (waiters_.empty()) {
        return;
    }
    auto* first = waiters_.front();
    waiters_.pop_front();
    first->is_notified_ = true;
    first->timer_.cancel();
}

void wait_signal::notify_all() {
    while (!waiters_.empty()) {
        notify_one();
    }
}

} // namespace http
