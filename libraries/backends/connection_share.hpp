#pragma once

#include <base/clock.hpp>

#include <compare>
#include <cstdint>

namespace backends {

/// Whether statements have waited long enough to go beyond the share.
enum class connection_pressure : std::uint8_t { none, waiting };

/// How many connections to one database this daemon may hold.
///
/// A database takes a fixed number from all daemons. The equal shares add up to a part of it only: a database
/// counts the connections of hosts that lost power for some seconds more, and the daemons that start again
/// need some meanwhile. A daemon goes beyond its share for statements that have waited, as long as the
/// database does not refuse. After its start and after a refusal it keeps to its share for as long as a
/// database may count connections of hosts that are gone; where connections are scarce it also hands them
/// back right after use meanwhile, so that the few that are free serve all daemons in turn. Thread safety:
/// immutable value.
class connection_share {
public:
    connection_share() = default;
    /// Preconditions: both are positive.
    connection_share(std::uint32_t most_connections, std::uint32_t daemons) noexcept;

    /// Returns whether another connection may be opened by a daemon that holds `open` of them.
    [[nodiscard]] bool may_open(std::uint32_t open, connection_pressure pressure,
                                base::clock::time_point now) const noexcept;
    /// Returns whether an idle connection should be handed back soon.
    [[nodiscard]] bool is_above_share(std::uint32_t open) const noexcept { return open > share_; }
    /// Returns for how long an idle connection within the share is kept. Where one for each daemon is more
    /// than the part that is shared out, those that are not in use are closed soon.
    [[nodiscard]] base::clock::duration max_idle(base::clock::time_point now) const noexcept;
    /// Returns how many idle connections are kept for long.
    [[nodiscard]] std::uint32_t kept_idle() const noexcept { return share_ > 2 ? share_ / 2 : 1; }
    /// Returns the state of a daemon that begins to use the database.
    [[nodiscard]] connection_share record_start(base::clock::time_point now) const noexcept;
    /// Returns the state after the database refused a connection.
    [[nodiscard]] connection_share record_refusal(base::clock::time_point now) const noexcept;
    /// Returns the same state for other limits.
    [[nodiscard]] connection_share with_limits(std::uint32_t most_connections,
                                               std::uint32_t daemons) const noexcept;

    friend auto operator<=>(const connection_share&, const connection_share&) = default;

private:
    std::uint32_t most_ = 1;
    std::uint32_t share_ = 1;
    /// Whether one connection for each daemon is more than the part that is shared out.
    bool is_scarce_ = false;
    base::clock::time_point refused_until_{};
    base::clock::time_point keeps_to_share_until_{};
};

} // namespace backends
