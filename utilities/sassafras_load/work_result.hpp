#pragma once

#include <base/response.hpp>
#include <utilities/sassafras_load/caller_response.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace sassafras_load {

/// What one thread counts about one work class. Thread safety: used by one thread, merged after it ended.
class work_result {
public:
    /// Counts an arrival of the schedule.
    void count_offered() { ++offered_; }
    /// Counts an arrival that was not sent because the tool had too many requests open.
    void count_unsent() { ++unsent_; }
    /// Counts a repeat under an idempotency key; its latency is not part of the statistics.
    void count_repeat() { ++repeats_; }
    /// Counts an answer. Latency counts from the scheduled time.
    void count_response(const caller_response& response, std::chrono::microseconds latency);

    /// Counts a request that was done before the end of the schedule. Goodput counts these alone, because
    /// answers that arrive later do so in time that the rate is not divided by.
    void count_done_in_run() { ++done_in_run_; }

    /// Adds the counts of another thread.
    void merge(const work_result& other);

    [[nodiscard]] std::uint64_t offered() const noexcept { return offered_; }
    [[nodiscard]] std::uint64_t unsent() const noexcept { return unsent_; }
    [[nodiscard]] std::uint64_t repeats() const noexcept { return repeats_; }
    [[nodiscard]] std::uint64_t done() const noexcept { return latencies_us_.size(); }
    [[nodiscard]] std::uint64_t done_in_run() const noexcept { return done_in_run_; }
    [[nodiscard]] std::uint64_t not_run() const noexcept { return not_run_; }
    [[nodiscard]] std::uint64_t unknown() const noexcept { return unknown_; }
    [[nodiscard]] std::uint64_t served_by_replicas() const noexcept { return served_by_replicas_; }
    /// Returns how often each kind of error was answered.
    [[nodiscard]] const std::map<std::string, std::uint64_t>& errors() const noexcept { return errors_; }
    /// Returns the exact quantile of the latencies of requests that were done, in milliseconds; 0 without
    /// any. Precondition: `quantile` is from 0 to 1.
    [[nodiscard]] double latency_ms(double quantile) const;

private:
    std::uint64_t offered_ = 0;
    std::uint64_t unsent_ = 0;
    std::uint64_t repeats_ = 0;
    std::uint64_t done_in_run_ = 0;
    std::uint64_t not_run_ = 0;
    std::uint64_t unknown_ = 0;
    std::uint64_t served_by_replicas_ = 0;
    std::map<std::string, std::uint64_t> errors_;
    std::vector<std::int64_t> latencies_us_;
};

} // namespace sassafras_load
