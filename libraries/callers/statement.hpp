#pragma once

#include <base/immutable.hpp>
#include <base/prepared_statement.hpp>

#include <compare>
#include <cstdint>
#include <string>

namespace callers {

/// What a statement of a session asks for.
enum class statement_kind : std::uint8_t {
    begin,
    begin_read_only,
    commit,
    rollback,
    read,
    write,
    set_value,
    prepare,
    execute,
    deallocate,
    malformed,
};

/// One statement of a client, as decoded from its connection.
struct statement_fields {
    /// The client's identifier of the operation; forwarded unchanged.
    std::string id_;
    /// The whole text; forwarded unchanged, except for the name of a prepared statement.
    std::string text_;
    statement_kind kind_ = statement_kind::malformed;
    /// The name of a session value or of a prepared statement.
    std::string name_;
    /// The value to set, the shape to prepare, or what follows the name of the statement to execute.
    std::string argument_;
    /// For a statement that is prepared.
    base::prepared_effect effect_ = base::prepared_effect::reads;

    friend auto operator<=>(const statement_fields&, const statement_fields&) = default;
    friend bool operator==(const statement_fields&, const statement_fields&) = default;
};

using statement = base::immutable<statement_fields>;

} // namespace callers
