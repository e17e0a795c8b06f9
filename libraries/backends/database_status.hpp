#pragma once

#include <base/immutable.hpp>
#include <base/log_position.hpp>
#include <base/response.hpp>

#include <compare>
#include <cstdint>
#include <string>

/// The package for backend servers: connections to databases, the state of database groups and the decisions
/// that are derived from it.
namespace backends {

/// The status that a database reports about itself.
struct database_status_fields {
    /// The database's own name. It must equal the declared one; otherwise one database could be counted
    /// twice.
    std::string database_;
    /// The greatest term that the database has granted or accepted. It only ever increases.
    std::uint64_t term_ = 0;
    base::database_role role_ = base::database_role::replica;
    /// The position of the last entry of its log. Its term is below `term_` until an entry of that term
    /// arrives.
    base::log_position last_;
    /// The index of the primary's first entry of its term; 0 for a replica.
    std::uint64_t start_ = 0;
    bool leaving_ = false;

    friend auto operator<=>(const database_status_fields&, const database_status_fields&) = default;
    friend bool operator==(const database_status_fields&, const database_status_fields&) = default;
};

using database_status = base::immutable<database_status_fields>;

/// Merges two statuses of the same database, where `later` was requested after `earlier`. A lower term never
/// replaces a higher one, and the last entry never moves back within a term.
[[nodiscard]] database_status merge(const database_status& earlier, const database_status& later);

/// Returns whether the database holds `position`: its term and its last entry are of the term of `position`,
/// and the last entry is at or beyond it. A database that has granted a higher term does not count, because
/// its new primary may have sent it the log only up to an entry of the lower term. Without this rule an
/// acknowledged write can be lost, as `HOLD_IGNORES_DATABASE_TERM` in specifications/group.pml shows.
[[nodiscard]] bool holds(const database_status& status, base::log_position position) noexcept;

} // namespace backends
