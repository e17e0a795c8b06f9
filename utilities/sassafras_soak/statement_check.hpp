#pragma once

#include <stand_ins/session_platform/line_database.hpp>
#include <utilities/sassafras_soak/operation_record.hpp>

#include <string>
#include <vector>

namespace soak {

/// Compares what a database ran or refused with what clients sent: each statement was sent by a client with
/// this text, where an `EXECUTE` may have another name, runs the prepared statement that its client named,
/// and runs with the values that were acknowledged to its client. A daemon issues no reads, writes and
/// commits of its own, nothing malformed, and no name that the database does not know. Returns a line for
/// each broken promise. Thread safety: pure.
[[nodiscard]] std::vector<std::string>
check_statements(const sent_statements& sent, const std::string& database,
                 const std::vector<stand_ins::seen_statement>& ran,
                 const std::vector<stand_ins::refused_statement>& refused);

/// Checks that no client was told that a name is unknown whose preparing was acknowledged. Returns a line for
/// each broken promise. Thread safety: pure.
[[nodiscard]] std::vector<std::string> check_prepared_names(const sent_statements& sent);

} // namespace soak
