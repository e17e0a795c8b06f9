#pragma once

#include <base/clock.hpp>
#include <base/log_position.hpp>

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace backends {

/// How a statement ended at a database, or in front of it.
enum class statement_status : std::uint8_t {
    done,
    /// Not run: no capacity.
    overloaded,
    /// The transaction was rolled back; nothing of it is kept.
    aborted,
    /// Not run: the database's log lacks the demanded position.
    behind,
    /// Not run: the database is not the primary.
    not_primary,
    /// Not run: another database answers at the address.
    wrong_database,
    /// Not run: the database takes no more connections.
    connection_limit,
    /// Not run: no prepared statement of that name.
    unknown_prepared,
    /// Run, and failed.
    failed,
    /// Run, perhaps; no answer in time.
    timed_out,
    /// Not a statement that may come now.
    malformed,
    /// No route has the name of the database.
    no_database,
    /// Sent, and its answer is lost.
    unknown,
};

/// Returns whether the status promises that the statement has not run.
[[nodiscard]] constexpr bool has_not_run(statement_status status) noexcept {
    switch (status) {
    case statement_status::overloaded:
    case statement_status::behind:
    case statement_status::not_primary:
    case statement_status::wrong_database:
    case statement_status::connection_limit:
    case statement_status::unknown_prepared:
        return true;
    default:
        return false;
    }
}

/// Whether a transaction is open on a connection.
enum class transaction_state : std::uint8_t { none, open, failed };

/// What decided about a statement, for the log.
struct statement_trace {
    /// The database that gave the last answer; empty when none was asked.
    std::string database_;
    /// The position that was demanded of a replica.
    std::optional<base::log_position> required_position_;
    std::uint32_t attempts_ = 0;
    /// Time in this daemon's queue, over all attempts.
    base::clock::duration waited_{0};

    friend auto operator<=>(const statement_trace&, const statement_trace&) = default;
};

/// Returns the status as it stands in the log.
[[nodiscard]] std::string_view name_of(statement_status status) noexcept;

/// The answer to one statement.
struct statement_response {
    statement_status status_ = statement_status::unknown;
    std::vector<std::string> rows_;
    /// The database's signature of a success, or the text of an error.
    std::string detail_;
    transaction_state state_ = transaction_state::none;
    /// Where the database's log stood.
    std::optional<base::log_position> position_;
    statement_trace trace_;

    friend auto operator<=>(const statement_response&, const statement_response&) = default;
};

/// Returns a reply without rows.
[[nodiscard]] inline statement_response make_response(statement_status status, std::string detail,
                                                      transaction_state state) {
    return {status, {}, std::move(detail), state, std::nullopt, {}};
}

} // namespace backends
