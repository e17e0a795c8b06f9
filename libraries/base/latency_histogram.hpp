#pragma once

#include <base/latency_buckets.hpp>
#include <base/latency_summary.hpp>

#include <array>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <memory>

namespace base {

/// Latencies of one kind of request on one thread.
///
/// Thread safety: `record` and `summary` on the owning thread only; `buckets` from any thread without a lock.
/// What another thread reads may miss the latest records, and its sum and counts may be one record apart.
class latency_histogram {
public:
    latency_histogram();
    ~latency_histogram();
    latency_histogram(const latency_histogram&) = delete;
    latency_histogram& operator=(const latency_histogram&) = delete;
    latency_histogram(latency_histogram&&) = delete;
    latency_histogram& operator=(latency_histogram&&) = delete;

    /// Counts one latency; a negative one counts as 0.
    void record(std::chrono::microseconds latency);

    /// Returns the statistics of everything recorded.
    [[nodiscard]] latency_summary summary() const;

    /// Returns the present counts.
    [[nodiscard]] latency_buckets buckets() const;

private:
    struct statistics;

    std::array<std::atomic<std::uint64_t>, latency_bounds_us.size() + 1> counts_{};
    std::atomic<std::uint64_t> sum_us_{0};
    std::atomic<std::uint64_t> max_us_{0};
    std::unique_ptr<statistics> statistics_;
};

} // namespace base
