#pragma once

#include <base/result.hpp>
#include <utilities/history/database_log.hpp>
#include <utilities/history/request_record.hpp>

#include <string>
#include <string_view>

namespace history {

/// Returns a record as one line of JSON without its line end. Thread safety: any thread.
[[nodiscard]] std::string encode_record(const request_record& record);

/// Reads a line that `encode_record` wrote. Errors: `invalid_request`.
[[nodiscard]] base::result<request_record> decode_record(std::string_view line);

/// Reads the answer of `/control/log` of a database. Errors: `invalid_request`.
[[nodiscard]] base::result<database_log> decode_log(std::string_view body);

} // namespace history
