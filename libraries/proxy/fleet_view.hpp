#pragma once

#include <backends/service_view.hpp>
#include <base/immutable.hpp>

#include <compare>
#include <map>
#include <string>

namespace proxy {

/// A snapshot of the databases and primaries of all services, as the request threads see them.
struct fleet_view_fields {
    std::map<std::string, backends::service_view, std::less<>> services_;

    friend auto operator<=>(const fleet_view_fields&, const fleet_view_fields&) = default;
    friend bool operator==(const fleet_view_fields&, const fleet_view_fields&) = default;
};

using fleet_view = base::immutable<fleet_view_fields>;

} // namespace proxy
