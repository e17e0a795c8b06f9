#pragma once

#include <base/clock.hpp>
#include <base/immutable.hpp>
#include <operators/key_digest.hpp>
#include <operators/tenant_limits.hpp>

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace operators {

/// Which commits a read on a route must observe.
enum class consistency : std::uint8_t {
    /// Every acknowledged commit.
    primary,
    /// Every commit that was acknowledged longer ago than the route's staleness.
    bounded_staleness,
    /// Like `bounded_staleness`, and also every commit of the same session.
    read_your_writes,
};

/// How the session daemon serves statements for one database name.
struct session_route_fields {
    std::string name_;
    std::string service_;
    consistency consistency_ = consistency::primary;
    /// Timeout of a single statement.
    base::clock::duration timeout_{0};
    /// Latency objective of a whole operation.
    base::clock::duration objective_{0};
    /// 0 is the most urgent.
    std::uint32_t priority_ = 0;
    base::clock::duration staleness_{0};
    std::uint32_t max_attempts_ = 1;
    /// Whether clients need no API key of a tenant.
    bool is_public_ = false;

    friend auto operator<=>(const session_route_fields&, const session_route_fields&) = default;
    friend bool operator==(const session_route_fields&, const session_route_fields&) = default;
};

using session_route = base::immutable<session_route_fields>;

/// What the configuration says of the databases of one service.
struct session_service {
    /// Maximum number of connections that one database accepts from all daemons together.
    std::uint32_t max_connections_ = 1;
    /// How many replicas have received a commit when it is acknowledged. With 0, replication is asynchronous.
    std::uint32_t sync_replicas_ = 0;

    friend auto operator<=>(const session_service&, const session_service&) = default;
};

/// The routes of one accepted configuration.
struct session_routes_fields {
    /// 0 before the first configuration.
    std::uint64_t version_ = 0;
    /// Keyed by the database name that clients request.
    std::map<std::string, session_route, std::less<>> routes_;
    /// Keyed by the name of the service.
    std::map<std::string, session_service, std::less<>> services_;
    /// How long a transaction may be idle between two statements.
    base::clock::duration transaction_idle_{3'000};
    /// How long a client may take to send its start message, and to send the rest of a line or read a
    /// response; absent if the configuration does not say.
    std::optional<base::clock::duration> start_timeout_;
    std::optional<base::clock::duration> client_idle_;
    /// Whether callers are identified by API keys. Without tenants, no key is checked.
    bool has_tenants_ = false;
    /// Keyed by the tenant's name.
    std::map<std::string, tenant_limits, std::less<>> tenants_;
    /// The name of the tenant that holds an API key, by the digest of the key.
    std::map<key_digest, std::string> tenant_of_key_;

    /// Returns the name of the tenant as which a session with this key runs on a route: empty without
    /// tenants, `anonymous_tenant` on a public route with an unknown key, `nullopt` if the key is refused.
    [[nodiscard]] std::optional<std::string> tenant_for(const session_route_fields& route,
                                                        const key_digest& key) const {
        if (!has_tenants_) {
            return std::string{};
        }
        if (const auto found = tenant_of_key_.find(key); found != tenant_of_key_.end()) {
            return found->second;
        }
        return route.is_public_ ? std::optional<std::string>{anonymous_tenant} : std::nullopt;
    }

    /// Names clients of public routes without a known key to databases.
    static constexpr const char* anonymous_tenant = "public";

    friend auto operator<=>(const session_routes_fields&, const session_routes_fields&) = default;
    friend bool operator==(const session_routes_fields&, const session_routes_fields&) = default;
};

using session_routes = base::immutable<session_routes_fields>;

} // namespace operators
