#pragma once

#include <base/metric_family.hpp>

#include <span>
#include <string>
#include <string_view>

namespace base {

/// The content type of the output of `encode_prometheus_text`.
inline constexpr std::string_view prometheus_content_type = "text/plain; version=0.0.4; charset=utf-8";

/// Encodes metrics in the Prometheus text format 0.0.4, with latencies in seconds and cumulative buckets.
/// Label values and help texts are escaped, because callers choose tenant names.
/// Precondition: the names of metrics and labels are valid. Thread safety: any thread.
[[nodiscard]] std::string encode_prometheus_text(std::span<const metric_family> families);

} // namespace base
