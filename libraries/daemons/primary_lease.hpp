#pragma once

#include <base/clock.hpp>

#include <compare>
#include <cstdint>
#include <optional>

namespace daemons {

/// Durations of a primary lease.
struct primary_lease_limits {
    /// How long a store read or a peer round keeps the lease valid. A takeover waits this long for a daemon
    /// that does not respond, so it bounds the outage when a host and a primary fail together; it also bounds
    /// how long primaries are used while neither store nor peers can be reached.
    base::clock::duration valid_for_{2'500};
    /// How long after the last known store read peer rounds still extend the lease.
    base::clock::duration peer_rounds_valid_for_{12'000};

    friend auto operator<=>(const primary_lease_limits&, const primary_lease_limits&) = default;
};

/// Whether a peer read the same list of registered daemons from the store as this daemon.
enum class peer_list : std::uint8_t { same, other };

/// Time-limited permission to use primaries, renewed by proof that no unknown takeover has begun. Reported as
/// `evidence` in logs and metrics. Each proof counts from the time the request was sent, because a takeover
/// may begin while the response is in transit.
///
/// Thread safety: owned by one thread.
class primary_lease {
public:
    explicit primary_lease(primary_lease_limits limits = {}) noexcept : limits_{limits} {}

    /// Records a linearizable read of all takeover records and registrations, requested at `requested_at`.
    void note_store_read(base::clock::time_point requested_at) noexcept;
    /// Records the response of a peer to a request sent at `requested_at`: the peer read the store `age`
    /// before it responded and sent its records. Only a peer with the same list extends the time for which
    /// peer rounds count: a daemon that registered later is not part of those rounds, and may replace
    /// primaries once all others know it.
    void note_peer(base::clock::time_point requested_at, base::clock::duration age, peer_list list) noexcept;
    /// Records that every registered daemon responded to a request sent at `requested_at` or later and has
    /// begun no takeover.
    void note_peer_round(base::clock::time_point requested_at) noexcept;
    /// Records that the store has come back from a copy: what it shows is evidence only once its records were
    /// confirmed, and other daemons may be possible leaders than those that this daemon knows. Evidence from
    /// before stays valid for its time.
    void note_store_return() noexcept;
    /// Invalidates the lease, because this daemon is not registered.
    void clear() noexcept;

    /// Returns the time until which primaries may be used.
    [[nodiscard]] base::clock::time_point expiry() const noexcept;
    /// Returns the age of the last known store read, by this daemon or a peer.
    [[nodiscard]] std::optional<base::clock::duration> age(base::clock::time_point now) const noexcept;
    /// Returns the age of this daemon's own last store read, the only one that it may report to peers.
    [[nodiscard]] std::optional<base::clock::duration> store_age(base::clock::time_point now) const noexcept;
    /// Returns how long ago the list of registered daemons was last confirmed to be the one that this daemon
    /// knows.
    [[nodiscard]] std::optional<base::clock::duration> list_age(base::clock::time_point now) const noexcept;

private:
    primary_lease_limits limits_;
    std::optional<base::clock::time_point> own_store_read_;
    /// The latest time for which a store read, by this daemon or a peer, is known.
    std::optional<base::clock::time_point> last_known_store_read_;
    /// The latest time at which the list of registered daemons was confirmed to be the one that this daemon
    /// knows.
    std::optional<base::clock::time_point> list_confirmed_at_;
    /// Fixed when a peer round is accepted; a later store read does not extend it.
    base::clock::time_point peer_round_expiry_{};
};

} // namespace daemons
