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

enum class metric_kind : std::uint8_t { counter, gauge, histogram };

/// One value of a metric. Histograms hold buckets, counters and gauges a number.
struct metric_sample {
    /// Names and values, in the order in which they are written. Names match `[a-zA-Z_][a-zA-Z0-9_]*`.
    std::vector<std::pair<std::string, std::string>> labels_;
    std::variant<double, latency_buckets> value_;

    friend auto operator<=>(const metric_sample&, const metric_sample&) = default;
};

/// A metric with all its values.
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

/// Returns the latency of requests as the histogram `sassafrasdeal_request_seconds`.
[[nodiscard]] metric_family request_metrics(const std::map<metric_key, latency_buckets>& totals);

} // namespace base
