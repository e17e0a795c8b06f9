#pragma once

#include <compare>
#include <cstdint>

namespace platform {

/// The result of a compare-and-swap: whether it was applied, and the key's revision after it.
struct put_result {
    bool applied_ = false;
    std::uint64_t revision_ = 0;

    friend auto operator<=>(const put_result&, const put_result&) = default;
};

} // namespace platform
