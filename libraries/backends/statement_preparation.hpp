#pragma once

#include <base/prepared_statement.hpp>

#include <compare>
#include <cstdint>
#include <string_view>

namespace backends {

/// A statement that is prepared on a database connection, for the log. Lifetime: refers to the texts that it
/// was made from.
struct statement_preparation {
    std::string_view service_;
    std::string_view database_;
    /// Number of the connection, see `statement_connection::number`.
    std::uint64_t connection_ = 0;
    base::prepared_effect effect_ = base::prepared_effect::reads;
    /// The text that the client prepared.
    std::string_view shape_;
    /// The name that the database is given.
    std::string_view name_;
    /// Id of the statement that executes it first.
    std::string_view statement_id_;

    friend auto operator<=>(const statement_preparation&, const statement_preparation&) = default;
};

} // namespace backends
