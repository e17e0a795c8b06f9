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

/// Coroutines that sleep until a result for their number is there or their time is up.
/// Thread safety: used by one thread only. Lifetime: outlives the coroutines that wait.
template <typename Result>
class waiter_list {
public:
    /// Returns the number for the next `wait`.
    [[nodiscard]] std::uint64_t next_number() noexcept { return ++last_number_; }

    /// One waiting coroutine. Lives in the coroutine's frame and unregisters when that is destroyed.
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

        /// Returns the result, or nothing when none came within `time`.
        [[nodiscard]] boost::asio::awaitable<std::optional<Result>> wait(base::clock::duration time) {
            if (!result_) {
                timer_.expires_after(time);
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

    /// Wakes the coroutine with this number, if it still waits.
    void finish(std::uint64_t number, Result result) {
        if (const auto found = waiters_.find(number); found != waiters_.end()) {
            found->second->result_ = std::move(result);
            found->second->timer_.cancel();
        }
    }

    /// Wakes every coroutine.
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
