#pragma once

#include <base/clock.hpp>

#include <atomic>
#include <cstdint>

namespace backends {

/// The expiry of this daemon's primary lease, published to all threads. The daemon may use primaries only
/// while the lease is valid, that is, while it has proof that no takeover unknown to it has started. Thread
/// safety: any thread; written by the control thread.
class published_lease {
public:
    /// Returns whether primaries may be used at a moment.
    [[nodiscard]] bool is_valid_at(base::clock::time_point moment) const noexcept {
        return moment.time_since_epoch().count() < expiry_ms_.load(std::memory_order_acquire);
    }

    /// Replaces the expiry of the lease.
    void set_expiry(base::clock::time_point moment) noexcept {
        expiry_ms_.store(moment.time_since_epoch().count(), std::memory_order_release);
    }

    [[nodiscard]] base::clock::time_point expiry() const noexcept {
        return base::clock::time_point{base::clock::duration{expiry_ms_.load(std::memory_order_acquire)}};
    }

private:
    std::atomic<std::int64_t> expiry_ms_{0};
};

} // namespace backends
