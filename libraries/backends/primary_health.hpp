#pragma once

#include <base/clock.hpp>

#include <compare>
#include <optional>
#include <string>

namespace backends {

/// The condition of a service's primary as one daemon observes it.
struct primary_health {
    std::string service_;
    std::string database_;
    /// For how long no connection could be opened; empty while the primary responds.
    std::optional<base::clock::duration> failing_for_;
    base::clock::time_point last_response_{};

    friend auto operator<=>(const primary_health&, const primary_health&) = default;
};

} // namespace backends
