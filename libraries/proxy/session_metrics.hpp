#pragma once

#include <base/clock.hpp>
#include <proxy/session_shared.hpp>

#include <string>

namespace proxy {

/// Returns the counters of a session daemon in the text format of Prometheus. Thread safety: any thread.
[[nodiscard]] std::string session_metrics_text(const session_shared& shared, base::clock::time_point now);

} // namespace proxy
