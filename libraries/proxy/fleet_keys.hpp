#pragma once

#include <string>
#include <string_view>

/// The keys of the store that the fleet writes.
namespace proxy::fleet_keys {

inline constexpr std::string_view prefix = "sassafrasdeal/";
inline constexpr std::string_view daemons = "sassafrasdeal/daemons/";
inline constexpr std::string_view takeovers = "sassafrasdeal/takeovers/";
inline constexpr std::string_view leadership = "sassafrasdeal/duty";

[[nodiscard]] inline std::string daemon(std::string_view address) {
    return std::string{daemons}.append(address);
}
[[nodiscard]] inline std::string takeover(std::string_view service) {
    return std::string{takeovers}.append(service);
}

} // namespace proxy::fleet_keys
