#pragma once

#include <backends/published_lease.hpp>
#include <base/memory_budget.hpp>
#include <base/snapshot.hpp>
#include <callers/client_limits.hpp>
#include <operators/session_routes.hpp>
#include <proxy/client_pressure.hpp>
#include <proxy/configuration_lag.hpp>
#include <proxy/fleet_view.hpp>
#include <proxy/quota_table.hpp>
#include <proxy/session_counters.hpp>
#include <proxy/stop_progress.hpp>

#include <atomic>
#include <cstdint>
#include <string>

namespace proxy {

/// The state that the control thread publishes to the request threads, and their common counters. Thread
/// safety: each member may be used from any thread.
struct session_shared_state {
    explicit session_shared_state(std::string failure_domain, std::string daemon_name = {})
        : failure_domain_{std::move(failure_domain)}, daemon_name_{std::move(daemon_name)} {}

    base::snapshot<operators::session_routes> routes_{operators::session_routes{}};
    base::snapshot<fleet_view> fleet_{fleet_view{}};
    base::snapshot<quota_table> quotas_{quota_table{}};
    quota_signal quota_signal_;
    backends::published_lease published_lease_;
    published_configuration_lag configuration_lag_;
    stop_progress stop_progress_;
    session_counters counters_;
    /// Half a gigabyte and a thousand sessions until the settings say otherwise.
    base::memory_budget memory_{base::divide_memory(512'000'000)};
    std::atomic<std::uint64_t> max_sessions_{1'000};
    /// What the settings say; the configuration may name others.
    base::snapshot<callers::client_timeouts> client_timeouts_{callers::client_timeouts{}};
    /// The score of the best candidate to be closed for each part of the memory and request thread, so that
    /// the threads agree on one.
    client_pressure client_pressure_;
    std::string failure_domain_;
    /// Unique in the fleet.
    std::string daemon_name_;
};

} // namespace proxy
