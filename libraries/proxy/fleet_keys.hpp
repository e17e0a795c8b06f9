#pragma once

#include <string>
#include <string_view>

/// The keys that the session daemons write in the store.
namespace proxy::fleet_keys {

inline constexpr std::string_view prefix = "sassafrasdeal/";
inline constexpr std::string_view daemons = "sassafrasdeal/daemons/";
inline constexpr std::string_view takeovers = "sassafrasdeal/takeovers/";
/// The leader's entry; the store keeps it under the name `duty`.
inline constexpr std::string_view leadership = "sassafrasdeal/duty";
/// The number of the last history of the store whose takeover records were confirmed.
inline constexpr std::string_view confirmed_era = "sassafrasdeal/era";

[[nodiscard]] inline std::string daemon(std::string_view address) {
    return std::string{daemons}.append(address);
}
[[nodiscard]] inline std::string takeover(std::string_view service) {
    return std::string{takeovers}.append(service);
}

} // namespace proxy::fleet_keys
