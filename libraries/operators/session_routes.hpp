#pragma once

#include <base/clock.hpp>
#include <base/immutable.hpp>

#include <compare>
#include <cstdint>
#include <map>
#include <string>

namespace operators {

/// What a read of a route has to see.
enum class consistency : std::uint8_t {
    /// Every acknowledged commit.
    primary,
    /// Every commit that was acknowledged longer ago than the route's staleness.
    bounded_staleness,
    /// As `bounded_staleness`, and every commit of the same session.
    read_your_writes,
};

/// How statements for one database name are served.
struct session_route_fields {
    std::string name_;
    std::string service_;
    consistency consistency_ = consistency::primary;
    /// Bound of a single statement.
    base::clock::duration timeout_{0};
    /// Objective of a whole operation.
    base::clock::duration objective_{0};
    /// 0 is the most urgent.
    std::uint32_t priority_ = 0;
    base::clock::duration staleness_{0};
    std::uint32_t max_attempts_ = 1;

    friend auto operator<=>(const session_route_fields&, const session_route_fields&) = default;
    friend bool operator==(const session_route_fields&, const session_route_fields&) = default;
};

using session_route = base::immutable<session_route_fields>;

/// One accepted configuration.
struct session_routes_fields {
    /// 0 before the first configuration.
    std::uint64_t version_ = 0;
    /// By the database name that clients ask for.
    std::map<std::string, session_route, std::less<>> routes_;
    /// Connections that one database of a service takes, by service.
    std::map<std::string, std::uint32_t, std::less<>> services_;
    /// How long a transaction may rest between two statements.
    base::clock::duration transaction_idle_{3'000};

    friend auto operator<=>(const session_routes_fields&, const session_routes_fields&) = default;
    friend bool operator==(const session_routes_fields&, const session_routes_fields&) = default;
};

using session_routes = base::immutable<session_routes_fields>;

} // namespace operators
