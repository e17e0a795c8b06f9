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

/// Delays the retries of one kind of store call with a backoff, and logs when the call starts to fail and
/// when it succeeds again.
///
/// A call that succeeds again ends the delays of the other kinds too, so that all retry as soon as the store
/// is reachable. Thread safety: owned by one coroutine on the thread of the signal.
class retry_delay {
public:
    /// `store_recovered` is notified when any kind of call succeeds again; it outlives this object.
    retry_delay(std::string call, http::wait_signal& store_recovered, platform::backoff_limits limits)
        : call_{std::move(call)}, store_recovered_{store_recovered}, backoff_{limits} {}

    /// Waits before the next attempt. Logs the first failure.
    [[nodiscard]] boost::asio::awaitable<void> wait_after_failure(const base::error& reason) {
        if (backoff_.failures() == 0) {
            base::log_event(events::store_call_failed, {{"call", call_}, {"reason", reason.to_string()}});
        }
        backoff_ = backoff_.after_failure(random_());
        return store_recovered_.wait_for(backoff_.delay());
    }

    /// Resets the backoff. After failures, also ends the delays of the other calls.
    void record_success() {
        if (backoff_.failures() > 0) {
            base::log_event(events::store_call_works,
                            {{"call", call_}, {"failures", std::to_string(backoff_.failures())}});
            store_recovered_.notify_all();
        }
        backoff_ = backoff_.after_success();
    }

private:
    std::string call_;
    http::wait_signal& store_recovered_;
    platform::reconnect_backoff backoff_;
    std::mt19937_64 random_{std::random_device{}()};
};

} // namespace proxy
