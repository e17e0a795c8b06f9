#pragma once

#include <backends/tenant_connection_counters.hpp>
#include <callers/client_limits.hpp>

#include <array>
#include <atomic>
#include <cstdint>

namespace proxy {

/// Counters of sessions, statements and transactions since the start of the daemon. Thread safety: any
/// thread.
struct session_counters {
    std::atomic<std::uint64_t> sessions_opened_{0};
    std::atomic<std::uint64_t> sessions_open_{0};
    /// Sessions that were refused because their API key belongs to no tenant.
    std::atomic<std::uint64_t> sessions_unauthorised_{0};
    /// Sessions that were closed because their API key was withdrawn.
    std::atomic<std::uint64_t> sessions_revoked_{0};
    std::atomic<std::uint64_t> statements_done_{0};
    std::atomic<std::uint64_t> statements_refused_{0};
    std::atomic<std::uint64_t> statements_failed_{0};
    std::atomic<std::uint64_t> statements_unknown_{0};
    /// Statements that this daemon or a database refused as malformed, which count as failed as well, and
    /// lines of clients that are no statement.
    std::atomic<std::uint64_t> statements_malformed_{0};
    /// Statements that were sent to be prepared on a database connection.
    std::atomic<std::uint64_t> statements_prepared_{0};
    backends::tenant_connection_counters tenant_connections_;
    std::atomic<std::uint64_t> transactions_aborted_{0};
    /// Changes of entries in the platform's store that cannot be used.
    std::atomic<std::uint64_t> store_entries_ignored_{0};
    /// Configurations that could not be decoded, so that the one before them stays in force.
    std::atomic<std::uint64_t> configurations_rejected_{0};
    /// The number of the store's history that this daemon knows; 0 for none.
    std::atomic<std::uint64_t> store_era_{0};
    /// Changes of that history while the daemon ran.
    std::atomic<std::uint64_t> store_returns_{0};
    /// 1 if the takeover records were confirmed in that history, 0 while they are not.
    std::atomic<std::uint64_t> store_history_confirmed_{0};
    /// Connections that the daemon closed or refused, by reason.
    std::array<std::atomic<std::uint64_t>, callers::closing_reason_count> clients_closed_{};
    /// Databases whose report the takeovers that this daemon leads wait for.
    std::atomic<std::uint64_t> takeover_reports_missing_{0};
    /// Internal tasks that ended with an unexpected error.
    std::atomic<std::uint64_t> tasks_failed_{0};
};

} // namespace proxy
