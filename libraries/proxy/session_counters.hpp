#pragma once

#include <atomic>
#include <cstdint>

namespace proxy {

/// Counters of sessions, statements and transactions since the start of the daemon. Thread safety: any
/// thread.
struct session_counters {
    std::atomic<std::uint64_t> sessions_opened_{0};
    std::atomic<std::uint64_t> sessions_open_{0};
    std::atomic<std::uint64_t> statements_done_{0};
    std::atomic<std::uint64_t> statements_refused_{0};
    std::atomic<std::uint64_t> statements_failed_{0};
    std::atomic<std::uint64_t> statements_unknown_{0};
    std::atomic<std::uint64_t> transactions_aborted_{0};
};

} // namespace proxy
