#pragma once

#include <base/result.hpp>
#include <stand_ins/database/database_request.hpp>
#include <stand_ins/database/database_response.hpp>
#include <stand_ins/database/database_state.hpp>
#include <stand_ins/database/replication.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace stand_ins::database {

/// Reads a request of the database interface; absent fields keep their defaults. Errors: `invalid_request`.
[[nodiscard]] base::result<database_request> decode_request(std::string_view body);

/// What a database says about itself.
struct status_report {
    std::string database_;
    bool leaving_ = false;
};

[[nodiscard]] std::string encode_status(const database_request& request, const database_state& state,
                                        const status_report& report);
[[nodiscard]] std::string encode_raise(const database_request& request, const database_state& state,
                                       bool granted);
[[nodiscard]] std::string encode_promote(const database_request& request, const database_state& state,
                                         bool promoted);
[[nodiscard]] std::string encode_response(const database_request& request, const database_response& answer);

[[nodiscard]] std::string encode_push(const replication_push& push);
/// Errors: `invalid_request`.
[[nodiscard]] base::result<replication_push> decode_push(std::string_view body);
[[nodiscard]] std::string encode_push_response(const replication_response& answer);
/// Errors: `invalid_request`.
[[nodiscard]] base::result<replication_response> decode_push_response(std::string_view body);

/// Returns the whole log for a history checker: `{"database","term","entries":[...]}`.
[[nodiscard]] std::string encode_log(std::string_view database, const database_state& state);

/// Encodes a durable change as one line without its line end.
[[nodiscard]] std::string encode_change(const state_change& change);
/// Errors: `invalid_request`.
[[nodiscard]] base::result<state_change> decode_change(std::string_view line);

} // namespace stand_ins::database
