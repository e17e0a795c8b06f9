#pragma once

#include <base/latency_buckets.hpp>
#include <base/metric_key.hpp>
#include <base/response.hpp>

#include <chrono>
#include <cstddef>
#include <map>
#include <memory>
#include <string_view>

namespace base {

/// The request metrics recorded by one thread.
///
/// The request path uses the registry of its own thread only. Series are prepended to a linked list and not
/// removed until the registry is destroyed, so that other threads can read them without a lock.
/// Thread safety: `record` on the owning thread only; `collect` on any thread.
class metric_registry {
public:
    /// `max_tenants` limits the number of distinct pairs of service and tenant; requests beyond the limit are
    /// recorded for the tenant `other`. The declarations limit the number of services and ranks.
    explicit metric_registry(std::size_t max_tenants = 200);

    /// Precondition: no other thread uses the registry any more.
    ~metric_registry();
    metric_registry(const metric_registry&) = delete;
    metric_registry& operator=(const metric_registry&) = delete;
    metric_registry(metric_registry&&) = delete;
    metric_registry& operator=(metric_registry&&) = delete;

    /// Records a request and its latency. Precondition: service and rank are declared.
    void record(std::string_view service, std::string_view tenant, std::string_view rank, outcome result,
                std::chrono::microseconds latency);

    /// Adds the current counts to `totals`; calling it for each registry merges the counts of all threads.
    void collect(std::map<metric_key, latency_buckets>& totals) const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

/// The tenant label of all requests beyond the tenant limit of a registry.
inline constexpr std::string_view other_tenants = "other";

} // namespace base
