#pragma once

#include <atomic>
#include <cstdint>

namespace backends {

/// Counters of database connections that were opened for tenants, since the start of the daemon. Thread
/// safety: any thread.
struct tenant_connection_counters {
    std::atomic<std::uint64_t> opened_{0};
    /// Connections that were closed so that another tenant could get one.
    std::atomic<std::uint64_t> replaced_{0};
    /// Connections that were closed because they were beyond the number kept or were not used for long.
    std::atomic<std::uint64_t> released_{0};
};

} // namespace backends
