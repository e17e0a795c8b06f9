#include <base/endpoint.hpp>

#include <charconv>

namespace base {

result<endpoint> endpoint::parse(std::string_view text) {
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0) {
        return error{error_kind::settings_invalid,
                     "'" + std::string{text} + "' does not have the form address:port"};
    }
    const auto digits = text.substr(colon + 1);
    std::uint16_t port = 0;
    const auto [end, status] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (status != std::errc{} || end != digits.data() + digits.size() || port == 0) {
        return error{error_kind::settings_invalid,
                     "the port in '" + std::string{text} + "' is not a number from 1 to 65535"};
    }
    return endpoint{std::string{text.substr(0, colon)}, port};
}

std::string endpoint::to_string() const {
    return address_ + ":" + std::to_string(port_);
}

} // namespace base
