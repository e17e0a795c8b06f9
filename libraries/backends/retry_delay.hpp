#pragma once

#include <base/clock.hpp>

#include <cstdint>
#include <optional>

namespace backends {

/// Returns `first` doubled `failures` times, at most `longest`. Preconditions: `first` is positive and not
/// above `longest`.
[[nodiscard]] base::clock::duration backoff_limit(base::clock::duration first, base::clock::duration longest,
                                                  std::uint32_t failures) noexcept;

/// Returns a time between 0 and `longest`, spread evenly over the values of `random` (full jitter).
[[nodiscard]] base::clock::duration draw_delay(base::clock::duration longest, std::uint64_t random) noexcept;

/// Returns how long to wait before retry number `retry` (counted from 0), or nothing when the retry could not
/// finish within `time_left`, of which `needed` must remain after the wait. The delay has full jitter below
/// 10 ms * 2^retry, at most 500 ms; it is shortened to fit the time left.
[[nodiscard]] std::optional<base::clock::duration> retry_delay(std::uint32_t retry,
                                                               base::clock::duration time_left,
                                                               base::clock::duration needed,
                                                               std::uint64_t random) noexcept;

} // namespace backends
