#pragma once

#include <backends/statement_response.hpp>
#include <base/clock.hpp>
#include <base/event_limiter.hpp>
#include <base/latency_buckets.hpp>
#include <base/metric_key.hpp>
#include <base/metric_registry.hpp>

#include <cstdint>
#include <map>
#include <string>

namespace proxy {

/// Records the statement latencies of one request thread and limits the rate of its log lines.
/// Thread safety: `collect` from any thread, the rest on the owning thread.
class statement_recorder {
public:
    /// Records the outcome of a statement and the time that it spent in this daemon.
    void record(const std::string& service, const std::string& priority, backends::statement_status status,
                base::clock::duration elapsed);

    /// Returns whether a log line about a statement may be written. Statements that were not done have a
    /// separate limit, so that the lines of successful ones do not displace theirs.
    [[nodiscard]] bool may_log(backends::statement_status status);

    /// Logs how many lines were dropped since the last call, if any were. `prepared` is the number of dropped
    /// lines about statements that this thread prepared at databases.
    void report_dropped(std::uint64_t prepared);

    /// Adds the current histograms to `totals`.
    void collect(std::map<base::metric_key, base::latency_buckets>& totals) const {
        metrics_.collect(totals);
    }

private:
    // Each limit bounds the cost of logging to about 0.1 % of a core, as a line takes some microseconds.
    static constexpr std::uint32_t max_done_lines_per_second = 100;
    static constexpr std::uint32_t max_not_done_lines_per_second = 200;

    base::metric_registry metrics_;
    base::event_limiter done_limiter_{max_done_lines_per_second};
    base::event_limiter not_done_limiter_{max_not_done_lines_per_second};
};

} // namespace proxy
