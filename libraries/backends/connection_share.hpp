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
/// database does not refuse, and keeps to what it has for a while after a refusal. Thread safety: immutable
/// value.
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
    /// Returns how many idle connections are kept for long.
    [[nodiscard]] std::uint32_t kept_idle() const noexcept { return share_ > 2 ? share_ / 2 : 1; }
    /// Returns the state after the database refused a connection.
    [[nodiscard]] connection_share after_refusal(base::clock::time_point now) const noexcept;
    /// Returns the same state for other limits.
    [[nodiscard]] connection_share with_limits(std::uint32_t most_connections,
                                               std::uint32_t daemons) const noexcept;

    friend auto operator<=>(const connection_share&, const connection_share&) = default;

private:
    std::uint32_t most_ = 1;
    std::uint32_t share_ = 1;
    base::clock::time_point refused_until_{};
};

} // namespace backends
