#pragma once

#include <stand_ins/database/database_state.hpp>

#include <cstddef>
#include <cstdint>
#include <vector>

namespace stand_ins::database {

/// Entries that a primary pushes to a replica, and the position of the entry before them.
struct replication_push {
    std::uint64_t term_ = 0;
    base::log_position previous_;
    std::vector<log_entry> entries_;

    friend bool operator==(const replication_push&, const replication_push&) = default;
};

/// A replica's answer to a push.
struct replication_response {
    /// Whether the replica follows the push's term.
    bool accepted_ = false;
    /// Whether the replica's log agrees with the push up to its last entry.
    bool matched_ = false;
    std::uint64_t term_ = 0;
    base::log_position last_;
    /// How old an entry must be before this replica wants it, in milliseconds.
    std::uint64_t lag_ms_ = 0;

    friend bool operator==(const replication_response&, const replication_response&) = default;
};

/// A replica's answer and the changes that have to be durable before it is sent.
struct replication_decision {
    replication_response answer_;
    state_changes changes_;
};

/// Decides a push. Entries after `previous` are taken only when the replica has `previous` itself; the first
/// entry that differs from the replica's own is taken in place of that one and of all after it.
/// Precondition: the push's entries are consecutive and follow `previous`.
[[nodiscard]] replication_decision decide_push(const database_state& state, const replication_push& push);

/// The next index that a primary sends to one replica. Thread safety: immutable value.
class replication_progress {
public:
    explicit replication_progress(std::uint64_t next) noexcept : next_{next} {}

    [[nodiscard]] std::uint64_t next() const noexcept { return next_; }

    friend auto operator<=>(const replication_progress&, const replication_progress&) = default;

private:
    std::uint64_t next_;
};

/// Returns the push that follows `progress`, with entries up to index `last_allowed` and at most `most` of
/// them. Precondition: the state is a primary's.
[[nodiscard]] replication_push next_push(const database_state& state, replication_progress progress,
                                         std::uint64_t last_allowed, std::size_t most);

/// Returns the progress after a replica's answer: forward when it matched, back towards its log when not.
[[nodiscard]] replication_progress after_response(replication_progress progress, const replication_push& push,
                                                  const replication_response& answer);

} // namespace stand_ins::database
