#pragma once

#include <string>
#include <string_view>

namespace base {

/// Returns the SHA-256 of `content` in lower-case hexadecimal (FIPS 180-4). Thread safety: any thread.
[[nodiscard]] std::string sha256_of(std::string_view content);

/// Returns the HMAC-SHA256 of `content` with the key `secret` in lower-case hexadecimal (RFC 2104).
/// Thread safety: any thread.
[[nodiscard]] std::string hmac_sha256_of(std::string_view secret, std::string_view content);

} // namespace base
