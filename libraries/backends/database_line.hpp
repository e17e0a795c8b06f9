#pragma once

#include <backends/database_listing.hpp>
#include <backends/statement_response.hpp>
#include <base/log_position.hpp>

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace backends {

/// What one line of a database is.
enum class database_line_kind : std::uint8_t {
    row,
    /// The statement succeeded; a line of kind `ready` follows.
    complete,
    /// The statement failed; a line of kind `ready` follows, except at the start of a connection.
    error,
    /// The answer is whole.
    ready,
    unreadable,
};

/// One decoded line of a database's answer.
struct database_line {
    database_line_kind kind_ = database_line_kind::unreadable;
    /// The row, the signature or the text of the error.
    std::string text_;
    /// For an error.
    statement_status status_ = statement_status::done;
    /// For `ready`.
    transaction_state state_ = transaction_state::none;
    /// For `ready`.
    std::optional<base::log_position> position_;

    friend auto operator<=>(const database_line&, const database_line&) = default;
};

/// What a database says of itself.
struct database_report {
    listed_role role_ = listed_role::replica;
    std::uint64_t term_ = 0;
    /// The last position that it has received, which it may not have applied yet.
    base::log_position received_;

    friend auto operator<=>(const database_report&, const database_report&) = default;
};

} // namespace backends
