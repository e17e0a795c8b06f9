#pragma once

#include <base/clock.hpp>

#include <cstdint>
#include <optional>

namespace backends {

/// Returns `initial` doubled `failures` times, at most `maximum`. Preconditions: `initial` is positive and at
/// most `maximum`.
[[nodiscard]] base::clock::duration
backoff_limit(base::clock::duration initial, base::clock::duration maximum, std::uint32_t failures) noexcept;

/// Returns a time between 0 and `maximum`, distributed evenly over the values of `random` (full jitter).
[[nodiscard]] base::clock::duration draw_delay(base::clock::duration maximum, std::uint64_t random) noexcept;

/// Returns the delay before retry number `retry` (counted from 0), or nothing if less than `reserved` of
/// `time_left` remains for the retry itself. The delay has full jitter up to 10 ms * 2^retry, at most 500 ms,
/// and is shortened so that `reserved` remains after it.
[[nodiscard]] std::optional<base::clock::duration> retry_delay(std::uint32_t retry,
                                                               base::clock::duration time_left,
                                                               base::clock::duration reserved,
                                                               std::uint64_t random) noexcept;

} // namespace backends
