#pragma once

#include <base/clock.hpp>

#include <compare>
#include <cstdint>

namespace backends {

/// How many connections to one database this daemon may hold.
///
/// A database takes a fixed number from all daemons. A daemon may always use its equal share; beyond that it
/// tries as long as the database does not refuse, and keeps to what it has for a while after a refusal.
/// Thread safety: immutable value.
class connection_share {
public:
    connection_share() = default;
    /// Preconditions: both are positive.
    connection_share(std::uint32_t most_connections, std::uint32_t daemons) noexcept;

    /// Returns whether another connection may be opened by a daemon that holds `open` of them.
    [[nodiscard]] bool may_open(std::uint32_t open, base::clock::time_point now) const noexcept;
    /// Returns whether an idle connection should be handed back soon.
    [[nodiscard]] bool is_above_share(std::uint32_t open) const noexcept { return open > share_; }
    /// Returns how many idle connections are kept for long. Half of the share stays free, because a database
    /// counts the connections of a host that lost power for some seconds more.
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
