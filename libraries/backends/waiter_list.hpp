#pragma once

#include <base/clock.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <utility>

namespace backends {

/// A registry of coroutines that each wait, up to a timeout, for a result with their number.
/// Thread safety: used by one thread only. Lifetime: must outlive the waiting coroutines.
template <typename Result>
class waiter_list {
public:
    /// Returns the number for the next `wait`.
    [[nodiscard]] std::uint64_t next_number() noexcept { return ++last_number_; }

    /// One waiting coroutine. Lives in the coroutine's frame and unregisters when the frame is destroyed.
    class waiter {
    public:
        waiter(waiter_list& owner, std::uint64_t number, const boost::asio::any_io_executor& executor)
            : owner_{owner}, number_{number}, timer_{executor} {
            owner_.waiters_.emplace(number_, this);
        }
        ~waiter() { owner_.waiters_.erase(number_); }
        waiter(const waiter&) = delete;
        waiter& operator=(const waiter&) = delete;
        waiter(waiter&&) = delete;
        waiter& operator=(waiter&&) = delete;

        /// Returns the result, or nothing if none arrived within `timeout`.
        [[nodiscard]] boost::asio::awaitable<std::optional<Result>> wait(base::clock::duration timeout) {
            if (!result_) {
                timer_.expires_after(timeout);
                boost::system::error_code ignored;
                co_await timer_.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
            }
            co_return result_;
        }

    private:
        friend class waiter_list;
        waiter_list& owner_;
        std::uint64_t number_;
        boost::asio::steady_timer timer_;
        std::optional<Result> result_;
    };

    /// Hands the result to the coroutine that waits for this number, if it still waits, and wakes it.
    void finish(std::uint64_t number, Result result) {
        if (const auto found = waiters_.find(number); found != waiters_.end()) {
            found->second->result_ = std::move(result);
            found->second->timer_.cancel();
        }
    }

    /// Hands the result to every waiting coroutine and wakes it.
    void finish_all(const Result& result) {
        for (auto& [number, waiting] : waiters_) {
            waiting->result_ = result;
            waiting->timer_.cancel();
        }
    }

    [[nodiscard]] bool is_empty() const noexcept { return waiters_.empty(); }

private:
    std::uint64_t last_number_ = 0;
    std::map<std::uint64_t, waiter*> waiters_;
};

} // namespace backends
