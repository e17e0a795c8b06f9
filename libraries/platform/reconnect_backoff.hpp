#pragma once

#include <base/clock.hpp>

#include <compare>
#include <cstdint>

namespace platform {

/// Bounds of the pauses between attempts.
struct backoff_limits {
    base::clock::duration first_{200};
    /// After an outage of the store a configuration has to be in force everywhere within 13 s; the longest
    /// pause leaves time for spreading it.
    base::clock::duration longest_{8'000};

    friend auto operator<=>(const backoff_limits&, const backoff_limits&) = default;
};

/// Decides how long to wait before the next attempt after failures in a row.
///
/// The bound doubles from `first_` to `longest_`; the pause lies between half the bound and the whole bound,
/// at a place that the caller's random number chooses, so that clients that failed together do not return
/// together. Thread safety: immutable value.
class reconnect_backoff {
public:
    explicit reconnect_backoff(backoff_limits limits = {}) noexcept : limits_{limits} {}

    /// Returns the state after one more failure. `random` is uniform over its type.
    [[nodiscard]] reconnect_backoff after_failure(std::uint64_t random) const noexcept;
    /// Returns the state after a failure whose answer asked for a pause. The pause is at least the one asked
    /// for, plus up to a quarter of it, and at most four times `longest_`.
    [[nodiscard]] reconnect_backoff after_refusal(base::clock::duration asked,
                                                  std::uint64_t random) const noexcept;
    /// Returns the state after a success.
    [[nodiscard]] reconnect_backoff after_success() const noexcept;

    /// Returns the pause before the next attempt; zero when the last attempt succeeded.
    [[nodiscard]] base::clock::duration delay() const noexcept { return delay_; }
    /// Returns how many attempts in a row have failed.
    [[nodiscard]] std::uint32_t failures() const noexcept { return failures_; }

    friend auto operator<=>(const reconnect_backoff&, const reconnect_backoff&) = default;

private:
    backoff_limits limits_;
    std::uint32_t failures_ = 0;
    base::clock::duration delay_{0};
};

} // namespace platform
