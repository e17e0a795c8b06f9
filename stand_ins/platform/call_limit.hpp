#pragma once

#include <base/clock.hpp>

#include <cstddef>
#include <cstdint>

namespace stand_ins::platform {

/// A token bucket that holds the calls of one second. A waiting watch takes one call a second from it.
/// Thread safety: used by one thread.
class call_limit {
public:
    call_limit(std::uint64_t calls_per_second, base::clock::time_point now)
        : calls_per_second_{calls_per_second}, milli_calls_{calls_per_second * milli}, updated_{now} {}

    /// Returns whether one more call is within the limit, and counts it if so.
    [[nodiscard]] bool admit(base::clock::time_point now, std::size_t waiting);

    /// Returns after how long a refused caller may expect to be admitted; at least a second.
    [[nodiscard]] base::clock::duration retry_after(std::size_t waiting) const noexcept;

    [[nodiscard]] std::uint64_t calls_per_second() const noexcept { return calls_per_second_; }

private:
    static constexpr std::uint64_t milli = 1'000;

    void refill(base::clock::time_point now, std::size_t waiting);

    std::uint64_t calls_per_second_;
    std::uint64_t milli_calls_;
    base::clock::time_point updated_;
};

} // namespace stand_ins::platform
