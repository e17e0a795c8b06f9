#pragma once

#include <base/immutable.hpp>
#include <operators/service_declaration.hpp>

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace operators {

/// All service declarations, as one publication stored them in the platform's store.
struct configuration_fields {
    /// The store's revision of the publication; 0 before the first publication.
    std::uint64_t revision_ = 0;
    /// Who published; reported to an operator whose concurrent publication failed.
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
