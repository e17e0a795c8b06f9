#pragma once

#include <base/clock.hpp>
#include <daemons/peer_limits.hpp>

#include <compare>
#include <cstdint>

namespace daemons {

/// When a peer may be connected to again. Thread safety: immutable value.
class reconnect_backoff {
public:
    reconnect_backoff() = default;

    /// Returns whether an attempt is due.
    [[nodiscard]] bool allows_attempt(base::clock::time_point now) const noexcept { return now >= next_; }

    /// Returns the state after one more failed attempt. The pause doubles up to its bound; `entropy` places
    /// it in its upper half, so that clients of a restarted peer do not come back at the same time.
    [[nodiscard]] reconnect_backoff after_failure(const peer_limits& limits, base::clock::time_point now,
                                                  std::uint64_t entropy) const noexcept;

    friend auto operator<=>(const reconnect_backoff&, const reconnect_backoff&) = default;

private:
    base::clock::duration pause_{0};
    base::clock::time_point next_{};
};

} // namespace daemons
