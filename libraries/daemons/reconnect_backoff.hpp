#pragma once

#include <base/clock.hpp>
#include <daemons/peer_limits.hpp>

#include <compare>
#include <cstdint>

namespace daemons {

/// Exponential backoff between attempts to connect to a peer. Thread safety: immutable value.
class reconnect_backoff {
public:
    reconnect_backoff() = default;

    /// Returns whether an attempt is due.
    [[nodiscard]] bool allows_attempt(base::clock::time_point now) const noexcept {
        return now >= next_attempt_;
    }

    /// Returns the state after another failed attempt. The delay doubles up to its maximum; `entropy` places
    /// it in its upper half, so that clients of a restarted peer do not reconnect at the same time.
    [[nodiscard]] reconnect_backoff after_failure(const peer_limits& limits, base::clock::time_point now,
                                                  std::uint64_t entropy) const noexcept;

    friend auto operator<=>(const reconnect_backoff&, const reconnect_backoff&) = default;

private:
    base::clock::duration delay_{0};
    base::clock::time_point next_attempt_{};
};

} // namespace daemons
