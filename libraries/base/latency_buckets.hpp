#pragma once

#include <base/immutable.hpp>

#include <array>
#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>

namespace base {

/// Upper bounds of the buckets in microseconds; a last bucket takes everything above. They are the same in
/// the whole fleet, so that buckets of threads and hosts can be added.
inline constexpr std::array<std::uint64_t, 14> latency_bounds_us{
    500,     1'000,   2'000,   5'000,     10'000,    20'000,    50'000,
    100'000, 200'000, 500'000, 1'000'000, 2'000'000, 5'000'000, 10'000'000};

/// Counts of latencies at one moment.
struct latency_buckets_fields {
    /// Latencies in each bucket alone, not cumulative; the last one counts those above all bounds.
    std::array<std::uint64_t, latency_bounds_us.size() + 1> counts_{};
    std::uint64_t sum_us_ = 0;
    std::uint64_t max_us_ = 0;

    friend auto operator<=>(const latency_buckets_fields&, const latency_buckets_fields&) = default;
    friend bool operator==(const latency_buckets_fields&, const latency_buckets_fields&) = default;
};

using latency_buckets = immutable<latency_buckets_fields>;

/// Returns the bucket that counts a latency.
[[nodiscard]] std::size_t bucket_of(std::uint64_t latency_us) noexcept;

/// Returns the number of latencies in all buckets.
[[nodiscard]] std::uint64_t count_of(const latency_buckets& buckets) noexcept;

/// Returns the counts of both together, as if one histogram had recorded everything.
[[nodiscard]] latency_buckets merge(const latency_buckets& one, const latency_buckets& other);

/// Returns the upper bound of the bucket that holds the given quantile, at most the longest latency; 0
/// without latencies. Precondition: `quantile` is from 0 to 1.
[[nodiscard]] std::chrono::microseconds estimate_quantile(const latency_buckets& buckets, double quantile);

} // namespace base
