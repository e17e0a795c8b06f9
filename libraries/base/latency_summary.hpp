#pragma once

#include <base/immutable.hpp>

#include <compare>
#include <cstdint>

namespace base {

/// Summary statistics of one latency histogram, in microseconds.
struct latency_summary_fields {
    std::uint64_t count_ = 0;
    double mean_us_ = 0;
    double max_us_ = 0;
    /// The quantiles 0.5 and 0.99, estimated by the P-square algorithm, which needs no buckets.
    double median_us_ = 0;
    double quantile_99_us_ = 0;

    friend auto operator<=>(const latency_summary_fields&, const latency_summary_fields&) = default;
    friend bool operator==(const latency_summary_fields&, const latency_summary_fields&) = default;
};

using latency_summary = immutable<latency_summary_fields>;

} // namespace base
