#pragma once

#include <callers/statement.hpp>

#include <compare>
#include <string>
#include <variant>

namespace callers {

/// Opens a session for a database that a route names.
struct session_start {
    std::string database_;
    friend auto operator<=>(const session_start&, const session_start&) = default;
};

/// Ends a session.
struct session_end {
    friend auto operator<=>(const session_end&, const session_end&) = default;
};

/// A line that is no message of the protocol.
struct unreadable_message {
    friend auto operator<=>(const unreadable_message&, const unreadable_message&) = default;
};

using session_message = std::variant<session_start, statement, session_end, unreadable_message>;

} // namespace callers
