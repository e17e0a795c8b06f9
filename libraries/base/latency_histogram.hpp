#pragma once

#include <base/latency_buckets.hpp>
#include <base/latency_summary.hpp>

#include <array>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <memory>

namespace base {

/// A histogram of the latencies of one kind of request, recorded by one thread.
///
/// Thread safety: `record` and `summary` on the owning thread only; `buckets` on any thread, without a lock.
/// Another thread may not see the latest latencies yet, and its sum and counts may differ by one latency.
class latency_histogram {
public:
    latency_histogram();
    ~latency_histogram();
    latency_histogram(const latency_histogram&) = delete;
    latency_histogram& operator=(const latency_histogram&) = delete;
    latency_histogram(latency_histogram&&) = delete;
    latency_histogram& operator=(latency_histogram&&) = delete;

    /// Records one latency; a negative one is recorded as 0.
    void record(std::chrono::microseconds latency);

    /// Returns the statistics of all recorded latencies.
    [[nodiscard]] latency_summary summary() const;

    /// Returns a snapshot of the counts.
    [[nodiscard]] latency_buckets buckets() const;

private:
    struct statistics;

    std::array<std::atomic<std::uint64_t>, latency_bounds_us.size() + 1> counts_{};
    std::atomic<std::uint64_t> sum_us_{0};
    std::atomic<std::uint64_t> max_us_{0};
    std::unique_ptr<statistics> statistics_;
};

} // namespace base
