#pragma once

#include <base/response.hpp>
#include <callers/session_token.hpp>
#include <http/message.hpp>

#include <string>

namespace callers {

/// Encodes the response to a request for `service` as an HTTP response.
///
/// The body holds `outcome` and `results`, and where applicable `session`, `handle`, `served_by` and `error`.
/// The session token is also sent in the header `Sassafrasdeal-Session` and in a cookie.
/// Thread safety: any thread.
[[nodiscard]] http::response encode_response(const base::response& response, const std::string& service,
                                             const token_signer& signer);

/// Encodes the rejection of a request that was not passed to the service. Thread safety: any thread.
[[nodiscard]] http::response encode_refusal(const base::error& reason);

/// Returns the HTTP status for an outcome and its error. Thread safety: any thread.
[[nodiscard]] unsigned status_for(base::outcome outcome, const std::optional<base::error>& reason) noexcept;

} // namespace callers
