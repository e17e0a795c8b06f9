#pragma once

#include <base/response.hpp>
#include <callers/session_token.hpp>
#include <http/message.hpp>

#include <string>

namespace callers {

/// Writes the answer to a request of `service` as an HTTP response.
///
/// Body: `outcome`, `results`, and where they apply `session`, `handle`, `served_by`, `error`. The session
/// token also stands in the header `Sassafrasdeal-Session` and in a cookie. Thread safety: any thread.
[[nodiscard]] http::response encode_response(const base::response& response, const std::string& service,
                                             const token_signer& signer);

/// Writes an error that no daemon had to be asked about. Thread safety: any thread.
[[nodiscard]] http::response encode_refusal(const base::error& reason);

/// Returns the HTTP status for an outcome and its error.
[[nodiscard]] unsigned status_for(base::outcome outcome, const std::optional<base::error>& reason) noexcept;

} // namespace callers
