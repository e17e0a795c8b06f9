#pragma once

#include <compare>
#include <cstdint>

namespace platform {

/// A lease of the store and whether it is still held. Use it only to avoid unnecessary work, never for
/// correctness: a paused process does not notice that its lease has ended.
struct lease_state {
    std::uint64_t lease_ = 0;
    bool held_ = false;

    friend auto operator<=>(const lease_state&, const lease_state&) = default;
};

} // namespace platform
