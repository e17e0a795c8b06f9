#pragma once

#include <backends/statement_preparation.hpp>
#include <base/event_limiter.hpp>

#include <atomic>
#include <cstdint>

namespace backends {

/// Counts the statements that one request thread prepares at databases, and logs them at a limited rate.
/// Thread safety: used by one thread only; the counter may be shared by several logs and read from any
/// thread. Lifetime: `total` outlives the log.
class preparation_log {
public:
    explicit preparation_log(std::atomic<std::uint64_t>& total) noexcept : total_{total} {}

    /// Records that a statement is sent to be prepared.
    void record(const statement_preparation& preparation);

    /// Returns how many lines were dropped by the rate limit since the last call, and resets the number.
    [[nodiscard]] std::uint64_t take_dropped_count() noexcept { return limiter_.take_dropped_count(); }

private:
    // Bounds the cost of logging to about 0.1 % of a core. A connection that sessions with different values
    // take turns on is reset and prepared again each time.
    static constexpr std::uint32_t max_lines_per_second = 100;

    std::atomic<std::uint64_t>& total_;
    base::event_limiter limiter_{max_lines_per_second};
};

} // namespace backends
