#pragma once

#include <base/clock.hpp>

#include <array>
#include <cstddef>
#include <cstdint>

namespace backends {

/// Limits retries to a percentage of first attempts over a sliding window, so that retries cannot multiply
/// the load on a database that already fails. A small minimum allows retries for a service with little load.
///
/// In the window that ends with a granted retry, the granted retries number at most `minimum` or `percent` of
/// the first attempts, whichever is greater. Complexity: O(1) per call. Thread safety: owned by one thread.
/// The times passed in must be monotonic.
class retry_budget {
public:
    static constexpr base::clock::duration window{10'000};

    explicit retry_budget(std::uint32_t percent = 10, std::uint64_t minimum = 3) noexcept
        : percent_{percent}, minimum_{minimum} {}

    /// Counts a first attempt.
    void note_attempt(base::clock::time_point now);
    /// Returns whether a retry may be made now, and counts it if so.
    [[nodiscard]] bool take_retry(base::clock::time_point now);

private:
    static constexpr std::size_t bucket_count = 10;
    static constexpr base::clock::duration bucket_length = window / bucket_count;

    struct bucket {
        std::uint64_t attempts_ = 0;
        std::uint64_t retries_ = 0;
    };

    void advance_to(base::clock::time_point now);

    std::uint32_t percent_;
    std::uint64_t minimum_;
    /// One bucket more than the window spans. Retries are summed over all buckets and attempts over one
    /// fewer, so that the limit holds for every window and not only for windows that begin at a bucket
    /// boundary.
    std::array<bucket, bucket_count + 1> buckets_{};
    std::int64_t current_ = 0;
};

} // namespace backends
