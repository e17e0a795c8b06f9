#pragma once

#include <base/immutable.hpp>

#include <array>
#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>

namespace base {

/// Upper bounds of the buckets in microseconds; one more bucket counts everything above the last bound. All
/// threads and hosts use the same bounds, so that their counts can be added.
inline constexpr std::array<std::uint64_t, 14> latency_bounds_us{
    500,     1'000,   2'000,   5'000,     10'000,    20'000,    50'000,
    100'000, 200'000, 500'000, 1'000'000, 2'000'000, 5'000'000, 10'000'000};

/// A snapshot of the counts of a latency histogram.
struct latency_buckets_fields {
    /// The count of each bucket, not cumulative; the last bucket counts latencies above all bounds.
    std::array<std::uint64_t, latency_bounds_us.size() + 1> counts_{};
    std::uint64_t sum_us_ = 0;
    std::uint64_t max_us_ = 0;

    friend auto operator<=>(const latency_buckets_fields&, const latency_buckets_fields&) = default;
    friend bool operator==(const latency_buckets_fields&, const latency_buckets_fields&) = default;
};

using latency_buckets = immutable<latency_buckets_fields>;

/// Returns the index of the bucket that counts a latency.
[[nodiscard]] std::size_t bucket_of(std::uint64_t latency_us) noexcept;

/// Returns the total count over all buckets.
[[nodiscard]] std::uint64_t count_of(const latency_buckets& buckets) noexcept;

/// Returns the sum of both, as if one histogram had recorded all latencies.
[[nodiscard]] latency_buckets merge(const latency_buckets& one, const latency_buckets& other);

/// Returns the upper bound of the bucket that contains the given quantile, limited to the maximum latency;
/// 0 if nothing was recorded. Precondition: `quantile` is from 0 to 1.
[[nodiscard]] std::chrono::microseconds estimate_quantile(const latency_buckets& buckets, double quantile);

} // namespace base
