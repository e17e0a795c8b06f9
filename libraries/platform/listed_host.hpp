#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace platform {

/// Whether a host stays or is being removed by the platform.
enum class host_state : std::uint8_t { live, leaving };

/// An entry of the platform's host list, which may lag behind the actual state.
struct listed_host {
    /// `address:port`.
    std::string address_;
    host_state state_ = host_state::live;

    friend auto operator<=>(const listed_host&, const listed_host&) = default;
};

} // namespace platform
