#pragma once

#include <compare>
#include <cstdint>

namespace backends {

/// The name of a prepared statement on one database connection. It is assigned by the connection and contains
/// nothing that a client chose. Thread safety: immutable value.
class prepared_name {
public:
    constexpr prepared_name() noexcept = default;
    constexpr explicit prepared_name(std::uint64_t number) noexcept : number_{number} {}

    /// Returns the number of the statement on its connection, counted from 1; 0 for none.
    [[nodiscard]] constexpr std::uint64_t number() const noexcept { return number_; }
    /// Returns the name of the statement that is prepared next on the connection.
    [[nodiscard]] constexpr prepared_name next() const noexcept { return prepared_name{number_ + 1}; }

    friend constexpr auto operator<=>(const prepared_name&, const prepared_name&) noexcept = default;

private:
    std::uint64_t number_ = 0;
};

} // namespace backends
