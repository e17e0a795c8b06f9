#pragma once

#include <backends/statement_response.hpp>
#include <base/snapshot.hpp>
#include <operators/session_routes.hpp>

#include <optional>
#include <string>
#include <utility>

namespace proxy {

/// Decides whether a statement that has waited for a connection may still run for the tenant that held its
/// client's API key when it arrived: the key may have been withdrawn or moved meanwhile, and the daemon
/// already uses the new configuration for other statements. Thread safety: may be used from any thread.
/// Lifetime: `routes` outlives it.
class tenant_admission {
public:
    tenant_admission(const base::snapshot<operators::session_routes>& routes, operators::session_route route,
                     operators::key_digest key, std::string tenant)
        : routes_{routes}, route_{std::move(route)}, key_{key}, tenant_{std::move(tenant)} {}

    /// Returns the status with which the statement is refused as not run; empty if it may run. A statement
    /// whose key has moved may be sent again.
    [[nodiscard]] std::optional<backends::statement_status> refusal() const {
        const auto holder =
            routes_.read([this](const auto& routes) { return routes->tenant_for(*route_, key_); });
        if (holder == tenant_) {
            return std::nullopt;
        }
        return holder ? backends::statement_status::overloaded : backends::statement_status::unauthorised;
    }

private:
    const base::snapshot<operators::session_routes>& routes_;
    operators::session_route route_;
    operators::key_digest key_;
    std::string tenant_;
};

} // namespace proxy
