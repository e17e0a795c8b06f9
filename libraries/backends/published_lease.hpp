#pragma once

#include <base/clock.hpp>

#include <atomic>
#include <cstdint>

namespace backends {

/// Until when this daemon may use primaries: as long as it holds evidence that no takeover has begun which it
/// does not know of. Thread safety: any thread; written by the control thread.
class published_lease {
public:
    /// Returns whether primaries may be used at a moment.
    [[nodiscard]] bool is_valid_at(base::clock::time_point moment) const noexcept {
        return moment.time_since_epoch().count() < until_ms_.load(std::memory_order_acquire);
    }

    /// Replaces the end of the authority.
    void set_expiry(base::clock::time_point moment) noexcept {
        until_ms_.store(moment.time_since_epoch().count(), std::memory_order_release);
    }

    [[nodiscard]] base::clock::time_point expiry() const noexcept {
        return base::clock::time_point{base::clock::duration{until_ms_.load(std::memory_order_acquire)}};
    }

private:
    std::atomic<std::int64_t> until_ms_{0};
};

} // namespace backends
