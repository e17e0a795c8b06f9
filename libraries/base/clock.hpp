#pragma once

#include <atomic>
#include <chrono>
#include <concepts>
#include <cstdint>
#include <ctime>

namespace base {

/// The monotonic clock that all components use, with a resolution of one millisecond. It satisfies the
/// standard `Clock` requirements. It keeps running while the host is suspended, so that a lease that expired
/// during the suspension is seen as expired. Thread safety: every function may be called from any thread.
class clock {
public:
    using rep = std::int64_t;
    using period = std::milli;
    using duration = std::chrono::duration<rep, period>;
    using time_point = std::chrono::time_point<clock>;
    static constexpr bool is_steady = true;

    /// Returns the time since the host was booted.
    [[nodiscard]] static time_point now() noexcept {
        timespec reading{};
        clock_gettime(CLOCK_BOOTTIME, &reading);
        const auto elapsed = std::chrono::seconds{reading.tv_sec} + std::chrono::nanoseconds{reading.tv_nsec};
        return time_point{std::chrono::duration_cast<duration>(elapsed)};
    }
};

/// A source of the current time on the scale of `clock`. Production code uses `clock`, tests `manual_clock`.
template <typename Source>
concept time_source = requires(const Source& source) {
    { source.now() } -> std::same_as<clock::time_point>;
};

/// A clock for tests that advances only on request.
/// Thread safety: `now` and `advance` may be called from any thread.
class manual_clock {
public:
    /// Returns the sum of all steps so far, as time since the clock's epoch.
    [[nodiscard]] clock::time_point now() const noexcept {
        return clock::time_point{clock::duration{elapsed_ms_.load(std::memory_order_acquire)}};
    }

    /// Moves the clock forward. Precondition: `step` is not negative.
    void advance(clock::duration step) noexcept {
        elapsed_ms_.fetch_add(step.count(), std::memory_order_acq_rel);
    }

private:
    std::atomic<std::int64_t> elapsed_ms_{0};
};

static_assert(time_source<clock>);
static_assert(time_source<manual_clock>);

} // namespace base
