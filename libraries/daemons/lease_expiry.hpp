#pragma once

#include <base/clock.hpp>
#include <daemons/primary_lease.hpp>

#include <compare>
#include <optional>

namespace daemons {

/// The times on which a takeover's wait for daemons that do not respond depends.
struct takeover_times {
    /// When the takeover record was first known to be in the store.
    base::clock::time_point recorded_at_{};
    /// When this daemon's registration was first known to be in the store.
    base::clock::time_point registered_at_{};
    /// Since when this daemon has continuously been a candidate for the leadership, if it is one.
    std::optional<base::clock::time_point> candidate_since_;
    /// When this daemon became the leader.
    base::clock::time_point acquired_at_{};

    friend auto operator<=>(const takeover_times&, const takeover_times&) = default;
};

/// Returns when the primary leases of all daemons that do not know of the takeover have expired. A daemon
/// counts peer rounds without this one for a while after it has last seen that this one is neither a
/// candidate nor the leader. Precondition: the times follow from a read of the store that was sent after
/// `recorded_at_`. Thread safety: pure function.
[[nodiscard]] base::clock::time_point latest_lease_expiry(const takeover_times& times,
                                                          const primary_lease_limits& limits = {}) noexcept;

} // namespace daemons
