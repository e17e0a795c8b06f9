#pragma once

#include <base/clock.hpp>

#include <compare>
#include <cstdint>
#include <optional>

namespace backends {

/// Spaces the takeovers of one group: at most one in 2 s, doubling to 30 s while they fail, so that homes
/// that race or that see a flapping database do not keep the group without a primary.
/// Thread safety: immutable value.
class takeover_damping {
public:
    /// Returns whether a takeover may start at `now`.
    [[nodiscard]] bool is_allowed(base::clock::time_point now) const noexcept {
        return !last_start_ || now >= *last_start_ + interval();
    }

    [[nodiscard]] takeover_damping record_start(base::clock::time_point now) const noexcept;
    [[nodiscard]] takeover_damping record_success() const noexcept;
    [[nodiscard]] takeover_damping record_failure() const noexcept;

    /// Returns the least time from the start of the last takeover to that of the next.
    [[nodiscard]] base::clock::duration interval() const noexcept { return interval_; }

    static constexpr base::clock::duration min_interval{2'000};
    static constexpr base::clock::duration max_interval{30'000};

    friend auto operator<=>(const takeover_damping&, const takeover_damping&) = default;

private:
    std::optional<base::clock::time_point> last_start_;
    base::clock::duration interval_ = min_interval;
};

} // namespace backends
