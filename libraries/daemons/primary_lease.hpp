#pragma once

#include <base/clock.hpp>

#include <compare>
#include <cstdint>
#include <optional>

namespace daemons {

/// How long evidence lasts.
struct primary_lease_limits {
    /// A takeover waits this long for a daemon that does not answer, so it bounds the gap after a host and a
    /// primary fail together; it also bounds how long primaries are used while nothing can be asked.
    base::clock::duration valid_for_{2'500};
    /// For how long after the last sight of the store rounds among the known daemons count.
    base::clock::duration peer_rounds_valid_for_{12'000};

    friend auto operator<=>(const primary_lease_limits&, const primary_lease_limits&) = default;
};

/// Whether a peer that read the store saw the list of registered daemons that this daemon knows.
enum class peer_list : std::uint8_t { same, other };

/// Evidence that no takeover has begun which this daemon does not know of. It is dated at the moment the
/// question was sent, because a takeover may begin while the answer is on its way.
/// Thread safety: owned by one thread.
class primary_lease {
public:
    explicit primary_lease(primary_lease_limits limits = {}) noexcept : limits_{limits} {}

    /// Notes a linearizable read of all takeover records and registrations, sent at `requested_at`.
    void note_store_read(base::clock::time_point requested_at) noexcept;
    /// Notes that a peer, asked at `requested_at`, read the store `age` before it answered, and told its
    /// records. Only a peer with the same list lengthens the time for which rounds count: a daemon that has
    /// registered since is not asked in them, and may replace primaries once it is known to all.
    void note_peer(base::clock::time_point requested_at, base::clock::duration age, peer_list list) noexcept;
    /// Notes that every registered daemon, asked at `requested_at` or later, has begun no takeover.
    void note_peer_round(base::clock::time_point requested_at) noexcept;
    /// Forgets everything: this daemon is not registered.
    void clear() noexcept;

    /// Returns until when primaries may be used.
    [[nodiscard]] base::clock::time_point expiry() const noexcept;
    /// Returns the age of the last sight of the store, by this daemon or a peer.
    [[nodiscard]] std::optional<base::clock::duration> age(base::clock::time_point now) const noexcept;
    /// Returns the age of this daemon's own last sight of the store, which is what it may tell peers.
    [[nodiscard]] std::optional<base::clock::duration> store_age(base::clock::time_point now) const noexcept;
    /// Returns how long ago the list of registered daemons was surely the one that this daemon knows.
    [[nodiscard]] std::optional<base::clock::duration> list_age(base::clock::time_point now) const noexcept;

private:
    primary_lease_limits limits_;
    std::optional<base::clock::time_point> store_read_;
    /// The latest moment that a read of the store, by this daemon or a peer, has shown.
    std::optional<base::clock::time_point> seen_;
    /// The latest moment at which the list of registered daemons was the one that this daemon knows.
    std::optional<base::clock::time_point> listed_;
    /// Fixed when a round is accepted; a later read does not lengthen what the round showed.
    base::clock::time_point peer_round_expiry_{};
};

} // namespace daemons
