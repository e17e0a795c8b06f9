#pragma once

#include <base/clock.hpp>

#include <compare>
#include <cstddef>
#include <cstdint>

namespace http {

/// Bounds on what one connection may cost.
struct limits {
    std::uint32_t header_bytes_ = 16 * 1024;
    std::uint64_t body_bytes_ = std::uint64_t{1024} * 1024;
    /// How long a connection may wait for its next request.
    base::clock::duration idle_timeout_{60'000};
    /// How long one message may take from its first byte to its last.
    base::clock::duration transfer_timeout_{10'000};

    friend auto operator<=>(const limits&, const limits&) = default;
};

} // namespace http
