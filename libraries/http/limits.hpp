#pragma once

#include <base/clock.hpp>

#include <compare>
#include <cstddef>
#include <cstdint>

namespace http {

/// Resource limits of one server connection.
struct limits {
    /// Maximum size of a request's header.
    std::uint32_t header_bytes_ = 16 * 1024;
    /// Maximum size of a request's body.
    std::uint64_t body_bytes_ = std::uint64_t{1024} * 1024;
    /// How long a connection may wait for the first byte of its next request.
    base::clock::duration idle_timeout_{60'000};
    /// How long the transfer of one message may take, and how long the TLS handshake may take.
    base::clock::duration transfer_timeout_{10'000};

    friend auto operator<=>(const limits&, const limits&) = default;
};

} // namespace http
