#pragma once

#include <callers/statement.hpp>

#include <compare>
#include <string>
#include <variant>

namespace callers {

/// Starts a session for the database name of a route.
struct session_start {
    std::string database_;
    /// Identifies the caller where the configuration has tenants. Secret: never logged.
    std::string api_key_;
    friend auto operator<=>(const session_start&, const session_start&) = default;
};

/// Ends a session.
struct session_end {
    friend auto operator<=>(const session_end&, const session_end&) = default;
};

/// A line that is not a valid message of the protocol.
struct unreadable_message {
    friend auto operator<=>(const unreadable_message&, const unreadable_message&) = default;
};

/// One decoded message of a client on a session connection.
using session_message = std::variant<session_start, statement, session_end, unreadable_message>;

} // namespace callers
