#pragma once

#include <base/request.hpp>

#include <string>

namespace proxy {

/// Returns a SHA-256 of what a request would change, to detect that a key is reused with other content.
/// Covers the service, the tenant and the statements with their lengths. Thread safety: any thread.
[[nodiscard]] std::string fingerprint_of(const base::request& request);

/// Returns the key under which the databases record the outcome. It contains the tenant, so that keys of two
/// tenants never collide. Precondition: the request has an idempotency key.
[[nodiscard]] std::string recorded_key_of(const base::request& request);

} // namespace proxy
