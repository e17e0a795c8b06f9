#pragma once

#include <backends/connection_pool_counts.hpp>
#include <backends/connection_pool_limits.hpp>
#include <base/clock.hpp>
#include <operators/service_declaration.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <vector>

namespace backends {

/// What a connection is acquired for.
enum class connection_use : std::uint8_t {
    /// One statement.
    statement,
    /// A transaction of several statements, which pins the connection until it ends.
    transaction,
};

/// Whether a released connection can be reused.
enum class connection_return : std::uint8_t {
    /// Every request on it has a response and no transaction is open.
    reuse,
    /// A request has no response or timed out, or the connection's state is unknown.
    discard,
};

/// Decides which connections to one database are opened, handed out and closed. Holds no sockets.
///
/// Connection ids are never reused, so that a discarded connection cannot be handed out again. After a start,
/// a change of the group's owner and every failed connection attempt, only one attempt is in progress at a
/// time; each success doubles this limit, so that neither a new owner nor a database that becomes reachable
/// again causes a burst of connections. Transactions together pin only as many connections as leave one for
/// each slot.
///
/// Complexity: O(log n) in the number of connections, and O(n) for `close_idle`.
/// Thread safety: owned by one thread. The times passed in must be monotonic.
class connection_pool {
public:
    /// `seed` determines the jitter of reconnects and should differ between daemons.
    connection_pool(connection_pool_limits limits, std::uint64_t seed);

    /// Returns the default limits with the numbers of connections and slots that a service declares.
    [[nodiscard]] static connection_pool_limits limits_of(const operators::service_declaration& declaration);

    /// Returns the ids of the connections to open now, to serve `waiting` requests without a connection and
    /// to keep spare ones. Each must be reported with `note_connected` or `note_connect_failed`.
    [[nodiscard]] std::vector<std::uint64_t> open(base::clock::time_point now, std::uint32_t waiting);

    /// Records that a connection attempt succeeded. Returns false if the connection is no longer needed and
    /// must be closed.
    [[nodiscard]] bool note_connected(std::uint64_t id, base::clock::time_point now);
    /// Records that a connection attempt failed, which delays the next one.
    void note_connect_failed(std::uint64_t id, base::clock::time_point now);

    /// Returns whether another transaction may pin a connection; some are reserved for single statements.
    [[nodiscard]] bool has_room_for_transaction() const noexcept;

    /// Acquires an idle connection and a slot. Empty if there is no free connection or no free slot.
    [[nodiscard]] std::optional<std::uint64_t> acquire(connection_use use);

    /// Releases the slot of a pinned connection between two statements of its transaction.
    void pause(std::uint64_t id);
    /// Acquires a slot for the next statement of a transaction. Returns false if none is free.
    [[nodiscard]] bool resume(std::uint64_t id);

    /// Returns a connection to the pool. Returns false if the caller must close it; its id is then removed.
    [[nodiscard]] bool release(std::uint64_t id, base::clock::time_point now, connection_return end);

    /// Returns the idle connections to close now; their ids are then removed.
    [[nodiscard]] std::vector<std::uint64_t> close_idle(base::clock::time_point now);

    /// Replaces the limits. Connections above a lower limit are closed as they become idle.
    void set_limits(connection_pool_limits limits) { limits_ = limits; }
    [[nodiscard]] const connection_pool_limits& limits() const noexcept { return limits_; }

    /// Returns the end of the backoff before the next connection attempt, or nothing if an attempt may be
    /// made now.
    [[nodiscard]] std::optional<base::clock::time_point> next_connect(base::clock::time_point now) const;

    /// Returns how many statements could start now if they had a connection.
    [[nodiscard]] std::uint32_t free_slots() const noexcept;
    [[nodiscard]] connection_pool_counts counts() const;

private:
    enum class connection_state : std::uint8_t { connecting, idle, statement, transaction, paused };

    struct connection {
        connection_state state_ = connection_state::connecting;
        base::clock::time_point idle_since_;
    };

    [[nodiscard]] std::uint32_t usable_connections() const noexcept;
    [[nodiscard]] std::uint32_t max_pinned() const noexcept;
    [[nodiscard]] bool is_over_limit() const noexcept { return connections_.size() > usable_connections(); }
    /// Returns the number of connections in a state.
    [[nodiscard]] std::uint32_t& count(connection_state state) {
        return counts_.at(static_cast<std::size_t>(state));
    }
    [[nodiscard]] std::uint32_t count(connection_state state) const {
        return counts_.at(static_cast<std::size_t>(state));
    }
    void set_state(connection& changed, connection_state state);
    void remove(std::uint64_t id);

    connection_pool_limits limits_;
    std::mt19937_64 random_;
    std::map<std::uint64_t, connection> connections_;
    /// Idle connections; the most recently used one is last.
    std::vector<std::uint64_t> idle_;
    std::array<std::uint32_t, 5> counts_{};
    std::uint64_t last_id_ = 0;
    std::uint32_t connecting_limit_ = 1;
    std::uint32_t failures_ = 0;
    base::clock::time_point next_connect_{};
};

} // namespace backends
