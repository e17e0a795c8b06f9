#pragma once

#include <base/memory_budget.hpp>

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>

namespace proxy {

/// The score of each request thread's best candidate to be closed, for each part of the memory. The thread
/// with the highest score closes its candidate. Thread safety: any thread.
class client_pressure {
public:
    /// Publishes a thread's score and returns whether no other thread has a higher one. Scores of others may
    /// be as old as the interval between two looks at the sessions.
    [[nodiscard]] bool is_highest(base::memory_part part, std::size_t thread, std::uint64_t score) noexcept {
        auto& scores = scores_.at(static_cast<std::size_t>(part));
        scores.at(thread % max_threads).store(score, std::memory_order_relaxed);
        for (std::size_t other = 0; other < max_threads; ++other) {
            if (scores.at(other).load(std::memory_order_relaxed) > score) {
                return false;
            }
        }
        return score > 0;
    }

private:
    static constexpr std::size_t max_threads = 256;

    std::array<std::array<std::atomic<std::uint64_t>, max_threads>, base::memory_part_count> scores_{};
};

} // namespace proxy
