#pragma once

#include <base/clock.hpp>

#include <compare>
#include <cstdint>

namespace backends {

/// Whether statements have waited long enough to justify exceeding the share.
enum class connection_pressure : std::uint8_t { none, waiting };

/// Decides how many connections to one database this daemon may hold.
///
/// A database accepts a fixed number of connections from all daemons together. The equal shares of the
/// daemons add up to only a fraction of it: for some seconds, a database still counts the
/// connections of hosts that lost power, and restarted daemons need connections during that time. A daemon
/// exceeds its share for statements that have waited, unless the database refuses connections. After its own
/// start and after a refusal, it stays within its share for as long as a database may count connections of
/// hosts that lost power. Where connections are scarce, it also closes them soon after use during that time,
/// so that the few free ones serve all daemons in turn. Thread safety: immutable value.
class connection_share {
public:
    connection_share() = default;
    /// Preconditions: both arguments are positive.
    connection_share(std::uint32_t max_connections, std::uint32_t daemons) noexcept;

    /// Returns whether a daemon with `open` connections may open another one.
    [[nodiscard]] bool may_open(std::uint32_t open, connection_pressure pressure,
                                base::clock::time_point now) const noexcept;
    /// Returns whether `open` connections exceed the share, so that idle ones should be closed soon.
    [[nodiscard]] bool is_above_share(std::uint32_t open) const noexcept { return open > share_; }
    /// Returns the number of connections that this daemon may open without pressure.
    [[nodiscard]] std::uint32_t equal_share() const noexcept { return share_; }
    /// Returns whether this daemon stays within its share, because it started or was refused a short time
    /// ago.
    [[nodiscard]] bool is_limited(base::clock::time_point now) const noexcept {
        return now < share_enforced_until_;
    }
    /// Returns how long an idle connection within the share is kept. Where one connection for each daemon is
    /// more than the shared fraction, unused connections are closed soon.
    [[nodiscard]] base::clock::duration max_idle(base::clock::time_point now) const noexcept;
    /// Returns how many idle connections are kept for up to `max_idle`.
    [[nodiscard]] std::uint32_t kept_idle() const noexcept { return share_ > 2 ? share_ / 2 : 1; }
    /// Returns the state after this daemon started to use the database.
    [[nodiscard]] connection_share record_start(base::clock::time_point now) const noexcept;
    /// Returns the state after the database refused a connection.
    [[nodiscard]] connection_share record_refusal(base::clock::time_point now) const noexcept;
    /// Returns the same state for other limits.
    [[nodiscard]] connection_share with_limits(std::uint32_t max_connections,
                                               std::uint32_t daemons) const noexcept;

    friend auto operator<=>(const connection_share&, const connection_share&) = default;

private:
    std::uint32_t max_connections_ = 1;
    std::uint32_t share_ = 1;
    /// Whether one connection for each daemon is more than the shared fraction.
    bool is_scarce_ = false;
    base::clock::time_point backoff_until_{};
    base::clock::time_point share_enforced_until_{};
};

} // namespace backends
