#pragma once

#include <base/clock.hpp>
#include <base/immutable.hpp>

#include <compare>
#include <cstdint>

namespace backends {

/// Limits and timeouts of the connections to one database.
struct connection_pool_limits_fields {
    /// Maximum number of connections that the database accepts from all daemons together.
    std::uint32_t connections_ = 16;
    /// Number of these that are reserved for status polls, takeovers and `settle` requests.
    std::uint32_t reserved_for_control_ = 3;
    /// Maximum number of statements that run at the same time.
    std::uint32_t slots_ = 2;
    /// Number of idle connections to keep open beyond the current demand.
    std::uint32_t spare_ = 1;
    /// Maximum number of concurrent connection attempts once the database is known to accept them.
    std::uint32_t max_connecting_ = 4;
    /// Idle time after which a connection beyond `spare_` is closed.
    base::clock::duration idle_timeout_{30'000};
    base::clock::duration initial_backoff_{50};
    base::clock::duration max_backoff_{5'000};
    base::clock::duration connect_timeout_{1'000};

    friend auto operator<=>(const connection_pool_limits_fields&,
                            const connection_pool_limits_fields&) = default;
    friend bool operator==(const connection_pool_limits_fields&,
                           const connection_pool_limits_fields&) = default;
};

using connection_pool_limits = base::immutable<connection_pool_limits_fields>;

} // namespace backends
