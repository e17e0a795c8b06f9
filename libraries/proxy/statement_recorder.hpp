#pragma once

#include <backends/statement_response.hpp>
#include <base/clock.hpp>
#include <base/event_limiter.hpp>
#include <base/latency_buckets.hpp>
#include <base/metric_key.hpp>
#include <base/metric_registry.hpp>

#include <map>
#include <string>

namespace proxy {

/// The latency histograms of one request thread, and the bound on its lines of the log.
/// Thread safety: `collect` from any thread, the rest on the owning thread.
class statement_recorder {
public:
    /// Counts a statement and how long it took in this daemon.
    void record(const std::string& service, const std::string& priority, backends::statement_status status,
                base::clock::duration took);

    /// Returns whether a line about a statement may be written. Lines about statements that were not done
    /// have a bound of their own, so that ordinary ones do not crowd them out.
    [[nodiscard]] bool may_log(backends::statement_status status);

    /// Writes a line with the number of lines that were dropped, if any were.
    void report_dropped();

    /// Adds the present histograms to `totals`.
    void collect(std::map<base::metric_key, base::latency_buckets>& totals) const {
        metrics_.collect(totals);
    }

private:
    // About a tenth of a per cent of a core each, as a line costs some microseconds.
    static constexpr std::uint32_t most_done_each_second = 100;
    static constexpr std::uint32_t most_not_done_each_second = 200;

    base::metric_registry metrics_;
    base::event_limiter done_{most_done_each_second};
    base::event_limiter not_done_{most_not_done_each_second};
};

} // namespace proxy
