#pragma once

#include <base/clock.hpp>
#include <base/immutable.hpp>

#include <compare>
#include <cstdint>

namespace backends {

/// Bounds of the connections to one database.
struct connection_pool_limits_fields {
    /// Connections that the database accepts from the whole system.
    std::uint32_t connections_ = 16;
    /// Part of them that is kept for status polls, takeover and settling outcomes.
    std::uint32_t reserved_for_control_ = 3;
    /// Statements that may run at the same time.
    std::uint32_t slots_ = 2;
    /// Idle connections to keep open beyond the present demand.
    std::uint32_t spare_ = 1;
    /// Connects that may be under way at the same time once the database is known to accept them.
    std::uint32_t most_connecting_ = 4;
    /// Age after which an idle connection beyond `spare_` is closed.
    base::clock::duration idle_after_{30'000};
    base::clock::duration first_backoff_{50};
    base::clock::duration longest_backoff_{5'000};
    base::clock::duration connect_timeout_{1'000};

    friend auto operator<=>(const connection_pool_limits_fields&,
                            const connection_pool_limits_fields&) = default;
    friend bool operator==(const connection_pool_limits_fields&,
                           const connection_pool_limits_fields&) = default;
};

using connection_pool_limits = base::immutable<connection_pool_limits_fields>;

} // namespace backends
