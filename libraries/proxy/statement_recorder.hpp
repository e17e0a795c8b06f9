#pragma once

#include <backends/statement_response.hpp>
#include <base/clock.hpp>
#include <base/event.hpp>
#include <base/event_limiter.hpp>
#include <base/latency_buckets.hpp>
#include <base/metric_key.hpp>
#include <base/metric_registry.hpp>

#include <cstddef>
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

    /// Returns whether a line about an operation that was refused for its tenant's limit may be written.
    [[nodiscard]] bool may_log_tenant_refusal(base::clock::time_point now) noexcept {
        return tenant_limiter_.allows(now);
    }

    /// Records the execution of a prepared statement whose line may not be written, for the next list of such
    /// executions. Costs no line, so that the limits on lines need not drop it.
    void note_unlogged_execution(const std::string& id, const backends::statement_trace& trace);

    /// Logs the executions that were noted, and how many lines were dropped since the last call, if any were.
    /// `prepared` is the number of dropped lines about statements that this thread prepared at databases.
    void report_dropped(std::uint64_t prepared);

    /// Adds the current histograms to `totals`.
    void collect(std::map<base::metric_key, base::latency_buckets>& totals) const {
        metrics_.collect(totals);
    }

private:
    // Each limit bounds the cost of logging to about 0.1 % of a core, as a line takes some microseconds.
    static constexpr std::uint32_t max_done_lines_per_second = 100;
    static constexpr std::uint32_t max_not_done_lines_per_second = 200;
    // A tenant far above its limit is refused thousands of times a second.
    static constexpr std::uint32_t max_tenant_lines_per_second = 5;
    // About 150 executions for each call of `report_dropped`.
    static constexpr std::size_t max_listed_bytes = 4096;
    static constexpr std::size_t max_listed_field = 32;
    // The longest entry has two fields, a number of up to 20 digits and the delimiters.
    static constexpr std::size_t max_entry_bytes = 2 * max_listed_field + 23;
    static_assert(max_listed_bytes + max_entry_bytes <= base::max_logged_value_bytes,
                  "the list is logged as one value");

    base::metric_registry metrics_;
    base::event_limiter done_limiter_{max_done_lines_per_second};
    base::event_limiter not_done_limiter_{max_not_done_lines_per_second};
    base::event_limiter tenant_limiter_{max_tenant_lines_per_second};
    /// Entries that end with `;`, each with the id, the number of the connection and the name.
    std::string unlogged_executions_;
    std::uint64_t unlisted_ = 0;
};

} // namespace proxy
