#pragma once

#include <base/request.hpp>

#include <string>

namespace proxy {

/// Returns a SHA-256 of what a request would change, by which the same key with other content is recognised.
/// Covers the service, the tenant and the statements with their lengths. Thread safety: any thread.
[[nodiscard]] std::string fingerprint_of(const base::request& request);

/// Returns the key under which the databases record the outcome: keys of two tenants never meet.
/// Precondition: the request has an idempotency key.
[[nodiscard]] std::string recorded_key_of(const base::request& request);

} // namespace proxy
