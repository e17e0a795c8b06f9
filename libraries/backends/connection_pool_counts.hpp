#pragma once

#include <base/immutable.hpp>

#include <compare>
#include <cstdint>

namespace backends {

/// A snapshot of how the connections of a pool are used.
struct connection_pool_counts_fields {
    std::uint32_t connecting_ = 0;
    std::uint32_t idle_ = 0;
    /// Connections in use, including pinned ones.
    std::uint32_t leased_ = 0;
    /// Connections in use by transactions.
    std::uint32_t pinned_ = 0;
    /// Running statements; at most the number of slots.
    std::uint32_t running_ = 0;

    friend auto operator<=>(const connection_pool_counts_fields&,
                            const connection_pool_counts_fields&) = default;
    friend bool operator==(const connection_pool_counts_fields&,
                           const connection_pool_counts_fields&) = default;
};

using connection_pool_counts = base::immutable<connection_pool_counts_fields>;

} // namespace backends
