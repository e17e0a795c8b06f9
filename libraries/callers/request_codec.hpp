#pragma once

#include <base/request.hpp>
#include <base/result.hpp>
#include <callers/session_token.hpp>
#include <http/message.hpp>

#include <cstdint>

namespace callers {

/// Upper bounds for the fields of one request.
inline constexpr std::size_t max_name_bytes = 128;
inline constexpr std::size_t max_key_bytes = 256;
inline constexpr std::size_t max_statements = 1'000;
inline constexpr base::clock::duration max_deadline{600'000};

/// Decodes the body and the session headers of `POST /v1/request`.
///
/// A deadline of zero means that the request specifies none; the service's declaration then supplies it.
/// Errors: `invalid_request` with the name of the invalid field; `token_invalid` or `token_foreign` for the
/// session token.
/// Thread safety: any thread.
[[nodiscard]] base::result<base::request> decode_request(const http::request& message,
                                                         const token_signer& signer);

/// Decodes the body of `POST /v1/outcome`, which queries the outcome of an idempotency key.
/// Errors: `invalid_request`. Thread safety: any thread.
[[nodiscard]] base::result<base::request> decode_outcome_request(const http::request& message);

} // namespace callers
