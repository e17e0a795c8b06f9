#pragma once

#include <base/clock.hpp>

#include <cstdint>

namespace base {

/// Bounds how many lines of the log are written each second, so that a load or a fault does not turn into a
/// load of the log. Thread safety: owned by one thread.
class event_limiter {
public:
    explicit event_limiter(std::uint32_t max_per_second) noexcept : most_{max_per_second} {}

    /// Returns whether one more line may be written now. A refused one is counted.
    [[nodiscard]] bool allows(clock::time_point now) noexcept {
        if (now - second_started_at_ >= clock::duration{milliseconds_each_second}) {
            second_started_at_ = now;
            written_ = 0;
        }
        if (written_ >= most_) {
            ++dropped_;
            return false;
        }
        ++written_;
        return true;
    }

    /// Returns how many lines were dropped since the last call.
    [[nodiscard]] std::uint64_t take_dropped_count() noexcept {
        const auto dropped = dropped_;
        dropped_ = 0;
        return dropped;
    }

private:
    static constexpr std::int64_t milliseconds_each_second = 1000;

    std::uint32_t most_;
    std::uint32_t written_ = 0;
    std::uint64_t dropped_ = 0;
    clock::time_point second_started_at_{};
};

} // namespace base
