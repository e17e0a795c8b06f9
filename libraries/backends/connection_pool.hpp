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

/// What a connection is taken for.
enum class connection_use : std::uint8_t {
    /// One statement.
    statement,
    /// A transaction of several statements, which pins the connection to its end.
    transaction,
};

/// In what state a connection comes back.
enum class lease_end : std::uint8_t {
    /// Every request on it was answered and no transaction is open.
    reuse,
    /// A request is unanswered or timed out, or its state is unknown.
    discard,
};

/// Decides which connections to one database are opened, given out and closed. Holds no socket.
///
/// Connections have ids that are never used again, so that a discarded one cannot come back. After a start, a
/// hand-over and every failed connect only one connect is under way at a time; each success doubles that
/// number, so that neither a new home nor a returning database sees a burst. Transactions together pin only
/// as many connections as leave one for each slot.
///
/// Complexity: O(log n) in the number of connections, and O(n) for `close_idle`.
/// Thread safety: owned by one thread. Time is passed in and must not go back.
class connection_pool {
public:
    /// `seed` is for the jitter of reconnects and should differ between daemons.
    connection_pool(connection_pool_limits limits, std::uint64_t seed);

    /// Returns the default limits with the connections and slots that a service declares.
    [[nodiscard]] static connection_pool_limits limits_of(const operators::service_declaration& declaration);

    /// Returns the ids of connections to open now, for `waiting` requests without a connection and the
    /// spare ones. Each must be reported with `note_connected` or `note_connect_failed`.
    [[nodiscard]] std::vector<std::uint64_t> open(base::clock::time_point now, std::uint32_t waiting);

    /// Notes that a connect succeeded. Returns false when the connection is not wanted any longer and must be
    /// closed.
    [[nodiscard]] bool note_connected(std::uint64_t id, base::clock::time_point now);
    /// Notes that a connect failed, which delays the next one.
    void note_connect_failed(std::uint64_t id, base::clock::time_point now);

    /// Returns whether another transaction may pin a connection; some are kept for single statements.
    [[nodiscard]] bool has_room_for_transaction() const noexcept;

    /// Takes an idle connection and a slot. Empty when there is no free one of either.
    [[nodiscard]] std::optional<std::uint64_t> acquire(connection_use use);

    /// Gives up the slot of a pinned connection between two statements of its transaction.
    void pause(std::uint64_t id);
    /// Takes a slot for the next statement of a transaction. Returns false when none is free.
    [[nodiscard]] bool resume(std::uint64_t id);

    /// Takes a connection back. Returns false when it must be closed; its id is then gone.
    [[nodiscard]] bool release(std::uint64_t id, base::clock::time_point now, lease_end end);

    /// Returns the idle connections to close now; their ids are then gone.
    [[nodiscard]] std::vector<std::uint64_t> close_idle(base::clock::time_point now);

    /// Replaces the limits. Connections above a lower limit are closed as they become idle.
    void set_limits(connection_pool_limits limits) { limits_ = limits; }
    [[nodiscard]] const connection_pool_limits& limits() const noexcept { return limits_; }

    /// Returns the time before which no connect is made, or nothing when one may be made at once.
    [[nodiscard]] std::optional<base::clock::time_point> next_connect(base::clock::time_point now) const;

    /// Returns how many statements could start now if there were connections.
    [[nodiscard]] std::uint32_t free_slots() const noexcept;
    [[nodiscard]] connection_pool_counts counts() const;

private:
    enum class connection_state : std::uint8_t { connecting, idle, statement, transaction, paused };

    struct connection {
        connection_state state_ = connection_state::connecting;
        base::clock::time_point idle_since_;
    };

    [[nodiscard]] std::uint32_t usable() const noexcept;
    [[nodiscard]] std::uint32_t most_pinned() const noexcept;
    [[nodiscard]] bool is_over_limit() const noexcept { return connections_.size() > usable(); }
    /// Returns the counter of a state. Each state has its own.
    [[nodiscard]] std::uint32_t& count(connection_state state) {
        return counts_.at(static_cast<std::size_t>(state));
    }
    [[nodiscard]] std::uint32_t count(connection_state state) const {
        return counts_.at(static_cast<std::size_t>(state));
    }
    void move_to(connection& moved, connection_state state);
    void forget(std::uint64_t id);

    connection_pool_limits limits_;
    std::mt19937_64 random_;
    std::map<std::uint64_t, connection> connections_;
    /// Idle connections, the one used last at the end.
    std::vector<std::uint64_t> idle_;
    std::array<std::uint32_t, 5> counts_{};
    std::uint64_t last_id_ = 0;
    std::uint32_t connecting_allowed_ = 1;
    std::uint32_t failures_ = 0;
    base::clock::time_point next_connect_{};
};

} // namespace backends
