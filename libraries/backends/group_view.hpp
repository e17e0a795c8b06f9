#pragma once

#include <backends/database_status.hpp>

#include <base/clock.hpp>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace backends {

/// Whether this daemon gets answers from a database.
enum class reachability : std::uint8_t { unknown, reachable, unreachable };

/// What the home knows of one database.
struct known_database {
    std::string name_;
    /// Empty until the database has answered once.
    std::optional<database_status> status_;
    /// When the newest question was sent whose answer is part of `status_`.
    base::clock::time_point requested_at_{};
    /// When the newest answer arrived.
    base::clock::time_point heard_at_{};
    reachability reachability_ = reachability::unknown;

    [[nodiscard]] bool is_leaving() const noexcept { return status_ && (*status_)->leaving_; }

    friend auto operator<=>(const known_database&, const known_database&) = default;
};

/// What the home knows of its database group. Knowledge only grows: a late or reordered status never takes
/// back a term, a primary or a committed position. Thread safety: immutable value.
class group_view {
public:
    group_view() = default;
    /// Returns the view of a group of which nothing is known yet. Precondition: the names are distinct.
    [[nodiscard]] static group_view of(std::vector<std::string> names);

    /// Returns the view after a status arrived at `heard_at` in answer to a question sent at `requested_at`.
    /// A status of a database outside the group changes nothing.
    [[nodiscard]] group_view record_status(const database_status& status,
                                           base::clock::time_point requested_at,
                                           base::clock::time_point heard_at) const;

    /// Returns the view after a primary has answered a statement at `position`, which proves that it holds
    /// it. Changes nothing unless the database is known to be of that term.
    [[nodiscard]] group_view with_entry(std::string_view database, base::log_position position) const;

    /// Returns the view after this daemon found out whether it can reach a database.
    [[nodiscard]] group_view with_reachability(std::string_view database, reachability found) const;

    /// Returns the greatest term of which a primary was known; 0 before the first.
    [[nodiscard]] std::uint64_t term() const noexcept { return term_; }

    /// Returns the greatest term that any database has reported, with or without a primary.
    [[nodiscard]] std::uint64_t greatest_term() const noexcept;

    /// Returns the name of the primary of `term()`. Empty when it no longer claims the role, or when a
    /// majority has granted a higher term, so that nothing of `term()` can be committed any more.
    [[nodiscard]] std::optional<std::string> primary() const;

    /// Returns the greatest position of `term()` that a majority is known to hold. Empty until a majority
    /// holds an entry of that term, so that nothing of earlier terms is reported before.
    [[nodiscard]] std::optional<base::log_position> committed() const noexcept { return committed_; }

    /// Returns whether answers at `position` may go to callers: it is of the current term and committed.
    [[nodiscard]] bool is_committed(base::log_position position) const noexcept;

    /// Returns the databases in the order of the declaration.
    [[nodiscard]] const std::vector<known_database>& databases() const noexcept { return databases_; }

    /// Returns what is known of a database, or null for a name outside the group.
    [[nodiscard]] const known_database* find(std::string_view database) const noexcept;

    /// Returns how many databases are more than half of the group.
    [[nodiscard]] std::size_t majority() const noexcept { return databases_.size() / 2 + 1; }

    ///

    friend auto operator<=>(const group_view&, const group_view&) = default;

private:
    void learn_primary(const database_status& status);
    void advance_committed();

    std::vector<known_database> databases_;
    std::uint64_t term_ = 0;
    std::optional<base::log_position> committed_;
};

} // namespace backends
