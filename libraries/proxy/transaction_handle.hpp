#pragma once

#include <base/result.hpp>

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace proxy {

/// Identifies an open transaction by the daemon that holds its connection and an unguessable number.
/// Thread safety: immutable value.
class transaction_handle {
public:
    transaction_handle(std::string daemon, std::uint64_t number)
        : daemon_{std::move(daemon)}, number_{number} {}

    /// Parses a handle received from a caller. Errors: `unknown_transaction`.
    [[nodiscard]] static base::result<transaction_handle> parse(std::string_view text);

    [[nodiscard]] const std::string& daemon() const noexcept { return daemon_; }
    [[nodiscard]] std::uint64_t number() const noexcept { return number_; }
    /// Returns `DAEMON/NUMBER` with the number as 16 hexadecimal digits.
    [[nodiscard]] std::string to_string() const;

    friend auto operator<=>(const transaction_handle&, const transaction_handle&) = default;

private:
    std::string daemon_;
    std::uint64_t number_;
};

} // namespace proxy
