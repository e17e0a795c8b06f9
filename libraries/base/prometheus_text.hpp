#pragma once

#include <base/metric_family.hpp>

#include <span>
#include <string>
#include <string_view>

namespace base {

/// The content type of the text below.
inline constexpr std::string_view prometheus_content_type = "text/plain; version=0.0.4; charset=utf-8";

/// Encodes metrics in the text format 0.0.4 of Prometheus. Latencies are written in seconds with cumulative
/// buckets. Label values and help texts are escaped, because tenants are named by callers.
/// Precondition: names of metrics and labels are valid ones. Thread safety: any thread.
[[nodiscard]] std::string encode_prometheus_text(std::span<const metric_family> families);

} // namespace base
