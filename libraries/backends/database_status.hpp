#pragma once

#include <base/immutable.hpp>
#include <base/log_position.hpp>
#include <base/response.hpp>

#include <compare>
#include <cstdint>
#include <string>

/// The peer package for backend servers: what a home knows of a database group, and what it decides from
/// that.
namespace backends {

/// What a database reports about itself.
struct database_status_fields {
    /// The database's own name; it must be the declared one, or one database could be counted twice.
    std::string database_;
    /// The greatest term that the database has granted or accepted. It only ever increases.
    std::uint64_t term_ = 0;
    base::database_role role_ = base::database_role::replica;
    /// The last entry of its log. Its term is below `term_` until an entry of that term arrives.
    base::log_position last_;
    /// The index of the primary's first entry of its term; 0 for a replica.
    std::uint64_t start_ = 0;
    bool leaving_ = false;

    friend auto operator<=>(const database_status_fields&, const database_status_fields&) = default;
    friend bool operator==(const database_status_fields&, const database_status_fields&) = default;
};

using database_status = base::immutable<database_status_fields>;

/// Returns the status that holds what both tell of the same database, where `later` was asked for after
/// `earlier`. A lower term never replaces a higher one, and the last entry never moves back within a term.
[[nodiscard]] database_status merge(const database_status& earlier, const database_status& later);

/// Returns whether the database holds `position`: its term and its last entry are of the term of `position`
/// and the entry is at or beyond it. A database that has granted a higher term no longer counts: its new
/// primary may have sent it the log only up to an entry of the lower term. The model finds a lost write
/// without this
/// (`HOLD_IGNORES_DATABASE_TERM` in specifications/group.pml).
[[nodiscard]] bool holds(const database_status& status, base::log_position position) noexcept;

} // namespace backends
