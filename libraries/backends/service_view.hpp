#pragma once

#include <backends/database_listing.hpp>
#include <base/immutable.hpp>

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace backends {

/// Whether the primary of a service may be used.
enum class primary_state : std::uint8_t {
    /// No primary is known.
    unknown,
    usable,
    /// The primary is being replaced and must not be used.
    being_replaced,
};

/// A daemon's view of the databases of one service.
struct service_view_fields {
    std::string service_;
    /// Maximum number of connections that one database accepts from all daemons together.
    std::uint32_t max_connections_ = 1;
    /// Number of daemons that share these connections.
    std::uint32_t daemons_ = 1;
    std::vector<database_listing> databases_;
    std::string primary_;
    primary_state primary_state_ = primary_state::unknown;

    friend auto operator<=>(const service_view_fields&, const service_view_fields&) = default;
    friend bool operator==(const service_view_fields&, const service_view_fields&) = default;
};

using service_view = base::immutable<service_view_fields>;

} // namespace backends
