#pragma once

#include <base/result.hpp>

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace base {

/// An IP address as text and a port. Thread safety: immutable value.
class endpoint {
public:
    endpoint() = default;
    endpoint(std::string address, std::uint16_t port) : address_{std::move(address)}, port_{port} {}

    /// Parses `address:port`, for example `127.0.0.1:7000`. The address itself is not validated.
    /// Errors: `settings_invalid`.
    [[nodiscard]] static result<endpoint> parse(std::string_view text);

    [[nodiscard]] const std::string& address() const noexcept { return address_; }
    [[nodiscard]] std::uint16_t port() const noexcept { return port_; }
    /// Returns `address:port`.
    [[nodiscard]] std::string to_string() const;

    friend auto operator<=>(const endpoint&, const endpoint&) = default;

private:
    std::string address_;
    std::uint16_t port_ = 0;
};

} // namespace base
