#pragma once

#include <compare>
#include <cstdint>

namespace platform {

/// A lease of the store and whether its holder still has it. It decides about effort only, never about
/// correctness: a paused holder does not notice that it ended.
struct lease_state {
    std::uint64_t lease_ = 0;
    bool held_ = false;

    friend auto operator<=>(const lease_state&, const lease_state&) = default;
};

} // namespace platform
