#pragma once

#include <base/clock.hpp>
#include <base/error.hpp>
#include <base/event.hpp>
#include <platform/reconnect_backoff.hpp>
#include <proxy/events.hpp>

#include <random>
#include <string>
#include <utility>

namespace proxy {

/// The pauses between attempts of one kind of call of the store, and the log lines when it stops and starts
/// to work. Thread safety: owned by one coroutine.
class retry_pause {
public:
    explicit retry_pause(std::string call) : call_{std::move(call)} {}

    /// Returns how long to wait after a failure.
    [[nodiscard]] base::clock::duration after_failure(const base::error& reason) {
        if (backoff_.failures() == 0) {
            base::log_event(events::store_call_failed, {{"call", call_}, {"reason", reason.to_string()}});
        }
        backoff_ = backoff_.after_failure(random_());
        return backoff_.pause();
    }

    void after_success() {
        if (backoff_.failures() > 0) {
            base::log_event(events::store_call_works,
                            {{"call", call_}, {"failures", std::to_string(backoff_.failures())}});
        }
        backoff_ = backoff_.after_success();
    }

private:
    // Refused calls have a price too; what lapsed meanwhile is back within two seconds of the store's return.
    static constexpr platform::backoff_limits limits{base::clock::duration{60}, base::clock::duration{1'500}};

    std::string call_;
    platform::reconnect_backoff backoff_{limits};
    std::mt19937_64 random_{std::random_device{}()};
};

} // namespace proxy
