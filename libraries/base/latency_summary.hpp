#pragma once

#include <base/immutable.hpp>

#include <compare>
#include <cstdint>

namespace base {

/// Statistics of the latencies that one histogram recorded, in microseconds.
struct latency_summary_fields {
    std::uint64_t count_ = 0;
    double mean_us_ = 0;
    double max_us_ = 0;
    /// Estimates of the quantiles 0.5 and 0.99 without buckets (P-square algorithm).
    double median_us_ = 0;
    double quantile_99_us_ = 0;

    friend auto operator<=>(const latency_summary_fields&, const latency_summary_fields&) = default;
    friend bool operator==(const latency_summary_fields&, const latency_summary_fields&) = default;
};

using latency_summary = immutable<latency_summary_fields>;

} // namespace base
