#pragma once

#include <base/immutable.hpp>
#include <base/prepared_statement.hpp>

#include <compare>
#include <cstdint>
#include <string>

namespace callers {

/// The operation that a statement of a session requests.
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

/// One decoded statement of a client session.
struct statement_fields {
    /// The operation identifier that the client chose; forwarded unchanged.
    std::string id_;
    /// The complete text.
    std::string text_;
    statement_kind kind_ = statement_kind::malformed;
    /// The name of the session value or prepared statement.
    std::string name_;
    /// The value to set, the statement to prepare, or the text after the name of the statement to execute.
    std::string argument_;
    /// The effect of the statement to prepare; unused for other kinds.
    base::prepared_effect effect_ = base::prepared_effect::reads;

    friend auto operator<=>(const statement_fields&, const statement_fields&) = default;
    friend bool operator==(const statement_fields&, const statement_fields&) = default;
};

using statement = base::immutable<statement_fields>;

} // namespace callers
