#pragma once

#include <backends/database_listing.hpp>
#include <base/immutable.hpp>

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace backends {

/// Whether the primary may be used.
enum class primary_state : std::uint8_t {
    /// No database is known to lead.
    unknown,
    usable,
    /// It is being replaced; nobody uses it.
    being_replaced,
};

/// What a daemon knows of one service's databases.
struct service_view_fields {
    std::string service_;
    /// Connections that one database takes from all daemons.
    std::uint32_t max_connections_ = 1;
    /// How many daemons share them.
    std::uint32_t daemons_ = 1;
    std::vector<database_listing> databases_;
    std::string primary_;
    primary_state primary_state_ = primary_state::unknown;

    friend auto operator<=>(const service_view_fields&, const service_view_fields&) = default;
    friend bool operator==(const service_view_fields&, const service_view_fields&) = default;
};

using service_view = base::immutable<service_view_fields>;

} // namespace backends
