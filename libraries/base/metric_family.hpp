#pragma once

#include <base/immutable.hpp>
#include <base/latency_buckets.hpp>
#include <base/metric_key.hpp>

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace base {

/// The type of a metric, as Prometheus defines it.
enum class metric_kind : std::uint8_t { counter, gauge, histogram };

/// One time series of a metric at one moment. Histograms hold buckets, counters and gauges a number.
struct metric_sample {
    /// Label names and values, in output order. Names match `[a-zA-Z_][a-zA-Z0-9_]*`.
    std::vector<std::pair<std::string, std::string>> labels_;
    std::variant<double, latency_buckets> value_;

    friend auto operator<=>(const metric_sample&, const metric_sample&) = default;
};

/// A metric with all its samples.
struct metric_family_fields {
    /// Matches `[a-zA-Z_:][a-zA-Z0-9_:]*`.
    std::string name_;
    std::string help_;
    metric_kind kind_ = metric_kind::gauge;
    std::vector<metric_sample> samples_;

    friend auto operator<=>(const metric_family_fields&, const metric_family_fields&) = default;
    friend bool operator==(const metric_family_fields&, const metric_family_fields&) = default;
};

using metric_family = immutable<metric_family_fields>;

/// Returns the request latencies as the histogram `sassafrasdeal_request_seconds`.
[[nodiscard]] metric_family request_metrics(const std::map<metric_key, latency_buckets>& totals);

} // namespace base
