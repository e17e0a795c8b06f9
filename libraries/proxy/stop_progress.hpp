#pragma once

#include <base/clock.hpp>
#include <callers/session_progress.hpp>
#include <proxy/drain_step.hpp>

#include <atomic>
#include <cstdint>
#include <limits>

namespace proxy {

/// How far the stop of this daemon has come, published to all threads. Thread safety: any thread; written by
/// the control thread.
class stop_progress {
public:
    [[nodiscard]] drain_step step() const noexcept { return step_.load(std::memory_order_acquire); }
    /// Precondition: `step` is not an earlier one than the current step.
    void advance_to(drain_step step) noexcept { step_.store(step, std::memory_order_release); }

    /// Returns the time at which the last statements have to end, so that their responses are sent before the
    /// process exits; far in the future while the daemon is not being stopped.
    [[nodiscard]] base::clock::time_point statements_end() const noexcept {
        return base::clock::time_point{
            base::clock::duration{statements_end_ms_.load(std::memory_order_acquire)}};
    }
    void set_statements_end(base::clock::time_point moment) noexcept {
        statements_end_ms_.store(moment.time_since_epoch().count(), std::memory_order_release);
    }

private:
    std::atomic<drain_step> step_{drain_step::serving};
    std::atomic<std::int64_t> statements_end_ms_{std::numeric_limits<std::int64_t>::max()};
};

/// Returns whether a stopping daemon refuses a statement that is not part of a transaction at a database.
/// What would begin a transaction is refused earlier, because it takes several statements to end. Thread
/// safety: pure function.
[[nodiscard]] constexpr bool is_refused_while_stopping(drain_step progress,
                                                       callers::session_step action) noexcept {
    switch (action) {
    case callers::session_step::begin:
    case callers::session_step::run_in_transaction:
        return progress >= drain_step::closing_transactions;
    case callers::session_step::run_single:
    case callers::session_step::commit:
        return progress >= drain_step::refusing;
    default:
        return false;
    }
}

} // namespace proxy
