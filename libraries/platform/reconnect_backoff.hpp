#pragma once

#include <base/clock.hpp>

#include <compare>
#include <cstdint>

namespace platform {

/// Bounds of the delays between attempts.
struct backoff_limits {
    base::clock::duration initial_{200};
    /// After an outage of the store a configuration has to take effect on every daemon within 13 s; the
    /// maximum delay leaves time to distribute it.
    base::clock::duration max_{8'000};

    friend auto operator<=>(const backoff_limits&, const backoff_limits&) = default;
};

/// Exponential backoff with jitter after consecutive failures.
///
/// The bound doubles from `initial_` to `max_`. The delay lies between half of the bound and the bound and is
/// chosen by the caller's random number, so that clients that failed together do not retry together. Thread
/// safety: immutable value.
class reconnect_backoff {
public:
    explicit reconnect_backoff(backoff_limits limits = {}) noexcept : limits_{limits} {}

    /// Returns the state after one more failure. `random` is uniform over its type.
    [[nodiscard]] reconnect_backoff after_failure(std::uint64_t random) const noexcept;
    /// Returns the state after a failure whose response requested a delay. The delay is at least the
    /// requested one plus up to a quarter of it, and at most four times `max_`.
    [[nodiscard]] reconnect_backoff after_refusal(base::clock::duration requested,
                                                  std::uint64_t random) const noexcept;
    /// Returns the state after a success.
    [[nodiscard]] reconnect_backoff after_success() const noexcept;

    /// Returns the delay before the next attempt; zero when the last attempt succeeded.
    [[nodiscard]] base::clock::duration delay() const noexcept { return delay_; }
    /// Returns the number of consecutive failures.
    [[nodiscard]] std::uint32_t failures() const noexcept { return failures_; }

    friend auto operator<=>(const reconnect_backoff&, const reconnect_backoff&) = default;

private:
    backoff_limits limits_;
    std::uint32_t failures_ = 0;
    base::clock::duration delay_{0};
};

} // namespace platform
