#pragma once

#include <base/clock.hpp>

#include <algorithm>
#include <compare>
#include <optional>

namespace proxy {

/// Decides how long to wait after changes of the server list before watching on, so that changes in quick
/// succession arrive in one response of the store. Each call to the store has a cost for every daemon: while
/// a whole fleet starts or is replaced, the list changes many times a second. Thread safety: immutable value.
class change_batching {
public:
    /// Returns the state after a response with changes. The delay doubles while changes follow each other
    /// within `quiet_time`, and starts anew after a pause.
    [[nodiscard]] change_batching after_change(base::clock::time_point now) const noexcept {
        const bool is_burst = last_change_at_ && now - *last_change_at_ < delay_ + quiet_time;
        change_batching next;
        next.delay_ = is_burst ? std::min(delay_ * 2, max_delay) : min_delay;
        next.last_change_at_ = now;
        return next;
    }

    /// Returns the time to wait before the next watch.
    [[nodiscard]] base::clock::duration delay() const noexcept { return delay_; }

    friend auto operator<=>(const change_batching&, const change_batching&) = default;

private:
    // Well below the second that a change of the primary takes.
    static constexpr base::clock::duration min_delay{200};
    // A database that leaves is used for seconds after it has announced that.
    static constexpr base::clock::duration max_delay{1'000};
    static constexpr base::clock::duration quiet_time{500};

    base::clock::duration delay_{0};
    std::optional<base::clock::time_point> last_change_at_;
};

} // namespace proxy
