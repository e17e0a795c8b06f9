#pragma once

#include <backends/database_listing.hpp>
#include <backends/statement_response.hpp>
#include <base/log_position.hpp>

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace backends {

/// The kind of a line in a database's response.
enum class database_line_kind : std::uint8_t {
    row,
    /// The statement succeeded; a line of kind `ready` follows.
    complete,
    /// The statement failed; a line of kind `ready` follows, except at the start of a connection.
    error,
    /// The response is complete.
    ready,
    unreadable,
};

/// One decoded line of a database's response.
struct database_line {
    database_line_kind kind_ = database_line_kind::unreadable;
    /// The row, the command tag or the text of the error.
    std::string text_;
    /// Meaningful only for `error`.
    statement_status status_ = statement_status::done;
    /// Meaningful only for `ready`.
    transaction_state state_ = transaction_state::none;
    /// Set only for `ready`.
    std::optional<base::log_position> position_;

    friend auto operator<=>(const database_line&, const database_line&) = default;
};

/// The status that a database reports of itself.
struct database_report {
    listed_role role_ = listed_role::replica;
    std::uint64_t term_ = 0;
    /// The last log position that it has received and may not have applied yet.
    base::log_position received_;

    friend auto operator<=>(const database_report&, const database_report&) = default;
};

} // namespace backends
