#pragma once

#include <base/immutable.hpp>
#include <operators/service_declaration.hpp>

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace operators {

/// All declarations in force, as one publication put them into the platform's store.
struct configuration_fields {
    /// The revision that the store gave the publication; 0 before the first.
    std::uint64_t revision_ = 0;
    /// Who published, for the loser of a race.
    std::string publisher_;
    /// Sorted by name.
    std::vector<service_declaration> services_;

    friend auto operator<=>(const configuration_fields&, const configuration_fields&) = default;
    friend bool operator==(const configuration_fields&, const configuration_fields&) = default;
};

using configuration = base::immutable<configuration_fields>;

/// The key of the platform's store that holds the configuration.
inline constexpr std::string_view configuration_key = "sassafrasdeal/configuration";

} // namespace operators
