#pragma once

#include <base/clock.hpp>

#include <compare>
#include <optional>
#include <string>

namespace backends {

/// What one daemon sees of a service's primary.
struct primary_health {
    std::string service_;
    std::string database_;
    /// For how long no connection could be opened; nothing while it answers.
    std::optional<base::clock::duration> failing_for_;
    base::clock::time_point last_response_{};

    friend auto operator<=>(const primary_health&, const primary_health&) = default;
};

} // namespace backends
