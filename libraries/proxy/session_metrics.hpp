#pragma once

#include <base/clock.hpp>
#include <base/latency_buckets.hpp>
#include <base/metric_key.hpp>
#include <proxy/session_shared_state.hpp>

#include <map>
#include <string>

namespace proxy {

/// Returns the counters and latency histograms of a session daemon in the text format of Prometheus. Thread
/// safety: any thread.
[[nodiscard]] std::string
session_metrics_text(const session_shared_state& shared,
                     const std::map<base::metric_key, base::latency_buckets>& latencies,
                     base::clock::time_point now);

} // namespace proxy
