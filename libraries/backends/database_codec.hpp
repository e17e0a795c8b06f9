#pragma once

#include <backends/database_messages.hpp>
#include <backends/database_status.hpp>
#include <backends/takeover.hpp>

#include <base/result.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/// JSON of the database interface. Each request carries an `id`, an integer that the answer repeats.
///
/// Every `decode_` function takes the id of the request. Errors: `backend_unavailable` for a body that is no
/// JSON, lacks a field, has one of another type or out of range, or carries another id.
/// Thread safety: any thread.
namespace backends {

[[nodiscard]] std::string encode_status_request(std::uint64_t id, const std::optional<status_wait>& wait);
[[nodiscard]] std::string encode_term_request(std::uint64_t id, const takeover_request& request);
[[nodiscard]] std::string encode_execute_request(std::uint64_t id, const execute_request& request);
[[nodiscard]] std::string encode_settle_request(std::uint64_t id, const settle_request& request);

[[nodiscard]] base::result<database_status> decode_status(std::uint64_t id, std::string_view body);
/// Decodes the answer to a raise or a promote, depending on `step`.
[[nodiscard]] base::result<term_response> decode_term_response(std::uint64_t id, takeover_step step,
                                                               std::string_view body);
[[nodiscard]] base::result<execute_response> decode_execute_response(std::uint64_t id, std::string_view body);
[[nodiscard]] base::result<settle_response> decode_settle_response(std::uint64_t id, std::string_view body);

/// Returns the name of a reason on the wire, for example `term_stale`.
[[nodiscard]] std::string_view name_of(refusal reason) noexcept;

} // namespace backends
