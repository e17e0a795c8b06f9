#pragma once

#include <base/clock.hpp>
#include <base/error.hpp>
#include <base/event.hpp>
#include <http/wait_signal.hpp>
#include <platform/reconnect_backoff.hpp>
#include <proxy/events.hpp>

#include <boost/asio/awaitable.hpp>

#include <random>
#include <string>
#include <utility>

namespace proxy {

/// The pauses between attempts of one kind of call of the store, and the log lines when it stops and starts
/// to work. A call that works again ends the pauses of the other kinds, so that one of them finds out for
/// all. Thread safety: owned by one coroutine on the thread of the signal.
class retry_pause {
public:
    /// `store_works` is notified when any call works again; it outlives this object.
    retry_pause(std::string call, http::wait_signal& store_works, platform::backoff_limits limits)
        : call_{std::move(call)}, store_works_{store_works}, backoff_{limits} {}

    /// Waits before the next attempt.
    [[nodiscard]] boost::asio::awaitable<void> wait_after_failure(const base::error& reason) {
        if (backoff_.failures() == 0) {
            base::log_event(events::store_call_failed, {{"call", call_}, {"reason", reason.to_string()}});
        }
        backoff_ = backoff_.after_failure(random_());
        return store_works_.wait_for(backoff_.delay());
    }

    void after_success() {
        if (backoff_.failures() > 0) {
            base::log_event(events::store_call_works,
                            {{"call", call_}, {"failures", std::to_string(backoff_.failures())}});
            store_works_.notify_all();
        }
        backoff_ = backoff_.after_success();
    }

private:
    std::string call_;
    http::wait_signal& store_works_;
    platform::reconnect_backoff backoff_;
    std::mt19937_64 random_{std::random_device{}()};
};

} // namespace proxy
