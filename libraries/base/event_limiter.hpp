#pragma once

#include <base/clock.hpp>

#include <cstdint>

namespace base {

/// Limits the rate of log lines, so that heavy load or a persistent fault does not flood the log.
/// Thread safety: used by one thread only.
class event_limiter {
public:
    explicit event_limiter(std::uint32_t max_per_second) noexcept : max_per_second_{max_per_second} {}

    /// Returns whether one more line may be written at `now`. A line that may not is counted as dropped.
    [[nodiscard]] bool allows(clock::time_point now) noexcept {
        if (now - window_started_at_ >= clock::duration{window_ms}) {
            window_started_at_ = now;
            written_ = 0;
        }
        if (written_ >= max_per_second_) {
            ++dropped_;
            return false;
        }
        ++written_;
        return true;
    }

    /// Returns the number of lines dropped since the previous call, and resets it.
    [[nodiscard]] std::uint64_t take_dropped_count() noexcept {
        const auto dropped = dropped_;
        dropped_ = 0;
        return dropped;
    }

private:
    static constexpr std::int64_t window_ms = 1000;

    std::uint32_t max_per_second_;
    std::uint32_t written_ = 0;
    std::uint64_t dropped_ = 0;
    clock::time_point window_started_at_{};
};

} // namespace base
