#pragma once

#include <base/request.hpp>
#include <base/result.hpp>
#include <callers/session_token.hpp>
#include <http/message.hpp>

#include <cstdint>

namespace callers {

/// Bounds on the parts of one request.
inline constexpr std::size_t longest_name_bytes = 128;
inline constexpr std::size_t longest_key_bytes = 256;
inline constexpr std::size_t most_statements = 1'000;
inline constexpr base::clock::duration longest_deadline{600'000};

/// Reads the body and the session headers of `POST /v1/request`.
///
/// The deadline is zero when the caller named none; the declaration of the service then gives it.
/// Errors: `invalid_request` names the field; `token_invalid` and `token_foreign` concern the session token.
/// Thread safety: any thread.
[[nodiscard]] base::result<base::request> decode_request(const http::request& message,
                                                         const token_signer& signer);

/// Reads the body of `POST /v1/outcome`, a question for the outcome of an idempotency key. Errors: as above.
[[nodiscard]] base::result<base::request> decode_outcome_request(const http::request& message);

} // namespace callers
