#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace platform {

/// A key's value in the platform's store. An absent key has revision 0. Thread safety: immutable value.
struct stored_value {
    bool found_ = false;
    std::string value_;
    std::uint64_t revision_ = 0;

    friend auto operator<=>(const stored_value&, const stored_value&) = default;
};

} // namespace platform
