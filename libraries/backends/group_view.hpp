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

/// Whether a database responds to this daemon.
enum class reachability : std::uint8_t { unknown, reachable, unreachable };

/// The state of one database as its group's owner knows it.
struct known_database {
    std::string name_;
    /// Empty until the database has responded once.
    std::optional<database_status> status_;
    /// When the newest request was sent whose response is part of `status_`.
    base::clock::time_point requested_at_{};
    /// When the newest response arrived.
    base::clock::time_point last_response_at_{};
    reachability reachability_ = reachability::unknown;

    [[nodiscard]] bool is_leaving() const noexcept { return status_ && (*status_)->leaving_; }

    friend auto operator<=>(const known_database&, const known_database&) = default;
};

/// The state of a database group as its owner knows it. Updates are monotonic: a late or reordered status
/// never reverts a term, a primary or a committed position. Thread safety: immutable value.
class group_view {
public:
    group_view() = default;
    /// Returns the view of a group before any database has responded. Precondition: the names are distinct.
    [[nodiscard]] static group_view of(std::vector<std::string> names);

    /// Returns the view after a status arrived at `received_at` in response to a request sent at
    /// `requested_at`. The status of a database outside the group is ignored.
    [[nodiscard]] group_view record_status(const database_status& status,
                                           base::clock::time_point requested_at,
                                           base::clock::time_point received_at) const;

    /// Returns the view after a primary has responded to a statement at `position`, which proves that it
    /// holds that position. Ignored unless the database is known to be in the term of `position`.
    [[nodiscard]] group_view record_entry(std::string_view database, base::log_position position) const;

    /// Returns the view after this daemon has tested whether it can reach a database.
    [[nodiscard]] group_view record_reachability(std::string_view database, reachability found) const;

    /// Returns the greatest term for which a primary has been known; 0 before the first one.
    [[nodiscard]] std::uint64_t term() const noexcept { return term_; }

    /// Returns the greatest term that any database has reported, with or without a primary.
    [[nodiscard]] std::uint64_t greatest_term() const noexcept;

    /// Returns the name of the primary of `term()`. Empty when it no longer claims the role, or when a
    /// majority has granted a higher term, so that no entry of `term()` can be committed any more.
    [[nodiscard]] std::optional<std::string> primary() const;

    /// Returns the greatest position of `term()` that a majority is known to hold. Empty until a majority
    /// holds an entry of that term, so that entries of earlier terms are not reported as committed before
    /// then.
    [[nodiscard]] std::optional<base::log_position> committed() const noexcept { return committed_; }

    /// Returns whether responses at `position` may be sent to callers: it is committed and of the current
    /// term.
    [[nodiscard]] bool is_committed(base::log_position position) const noexcept;

    /// Returns the databases in the order in which they are declared.
    [[nodiscard]] const std::vector<known_database>& databases() const noexcept { return databases_; }

    /// Returns the known state of a database, or null for a name outside the group.
    [[nodiscard]] const known_database* find(std::string_view database) const noexcept;

    /// Returns the smallest number of databases that is more than half of the group.
    [[nodiscard]] std::size_t majority() const noexcept { return databases_.size() / 2 + 1; }

    friend auto operator<=>(const group_view&, const group_view&) = default;

private:
    void adopt_primary(const database_status& status);
    void advance_committed();

    std::vector<known_database> databases_;
    std::uint64_t term_ = 0;
    std::optional<base::log_position> committed_;
};

} // namespace backends
