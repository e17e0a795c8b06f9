#pragma once

#include <backends/reported_position.hpp>
#include <base/clock.hpp>
#include <base/log_position.hpp>
#include <base/memory_budget.hpp>

#include <compare>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace backends {

/// The result of a statement, reported by a database or, if none was asked, by this daemon.
enum class statement_status : std::uint8_t {
    done,
    /// Not run: no capacity.
    overloaded,
    /// The transaction was rolled back without any effect.
    aborted,
    /// Not run: the database has not reached the required log position.
    behind,
    /// Not run: the database is not the primary.
    not_primary,
    /// Not run: a different database responds at the address.
    wrong_database,
    /// Not run: the database accepts no more connections.
    connection_limit,
    /// Not run: the database has no prepared statement of that name.
    unknown_prepared,
    /// Run and failed.
    failed,
    /// May have run: no response arrived before the deadline.
    timed_out,
    /// Not a statement that is valid at this point of the session.
    malformed,
    /// No route matches the name of the database.
    no_database,
    /// The client's API key belongs to no tenant.
    unauthorised,
    /// May have run: the statement was sent and its response was lost.
    unknown,
};

/// Returns whether the status guarantees that the statement has not run.
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

/// How a statement was placed and retried, for the log.
struct statement_trace {
    /// The database that was tried last; empty if the last attempt was not granted a connection.
    std::string database_;
    /// The number of the connection that was tried last; 0 if none was granted.
    std::uint64_t connection_ = 0;
    /// The name under which a prepared statement was executed at the database; empty for other statements
    /// and if the statement was not sent.
    std::string prepared_name_;
    /// The log position that a replica was required to have reached.
    std::optional<base::log_position> required_position_;
    std::uint32_t attempts_ = 0;
    /// Time spent in this daemon's queue, summed over all attempts.
    base::clock::duration waited_{0};

    friend auto operator<=>(const statement_trace&, const statement_trace&) = default;
};

/// Returns the name of the status as it is written to the log.
[[nodiscard]] std::string_view name_of(statement_status status) noexcept;

/// The response to one statement.
struct statement_response {
    statement_status status_ = statement_status::unknown;
    std::vector<std::string> rows_;
    /// For a success, the command tag from the database; for an error, its text.
    std::string detail_;
    transaction_state state_ = transaction_state::none;
    /// The log position of the database.
    std::optional<base::log_position> position_;
    statement_trace trace_;
    /// Counts the rows against the memory of the process; null if they are few.
    std::shared_ptr<base::memory_hold> hold_;
    /// When the request was sent; set by the connection that received the response.
    base::clock::time_point requested_at_{};

    /// Returns the log position of the database with the time that dates it, if the response has one.
    [[nodiscard]] std::optional<reported_position> dated_position() const {
        return position_ ? std::optional{reported_position{*position_, requested_at_}} : std::nullopt;
    }

    friend auto operator<=>(const statement_response&, const statement_response&) = default;
};

/// Returns a response without rows.
[[nodiscard]] inline statement_response make_response(statement_status status, std::string detail,
                                                      transaction_state state) {
    return {status, {}, std::move(detail), state, std::nullopt, {}, nullptr};
}

} // namespace backends
