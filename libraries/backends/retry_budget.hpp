#pragma once

#include <base/clock.hpp>

#include <array>
#include <cstddef>
#include <cstdint>

namespace backends {

/// Limits retries to a ratio of the first attempts over a sliding window, so that retries cannot multiply the
/// load on a database that already fails. A small minimum lets a quiet service retry at all.
///
/// In the window that ends with a granted retry, the granted retries are at most `minimum` or `percent` of
/// the first attempts, whichever is greater. Complexity: O(1) per call. Thread safety: owned by one thread;
/// time must not go back.
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
    static constexpr std::size_t parts = 10;
    static constexpr base::clock::duration part_length = window / parts;

    struct part {
        std::uint64_t attempts_ = 0;
        std::uint64_t retries_ = 0;
    };

    void move_to(base::clock::time_point now);

    std::uint32_t percent_;
    std::uint64_t minimum_;
    /// One part more than the window is long. Retries count over all parts and attempts over one less, so
    /// that the ratio holds for every window and not only for those that begin with a part.
    std::array<part, parts + 1> parts_{};
    std::int64_t current_ = 0;
};

} // namespace backends
