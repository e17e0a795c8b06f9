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

/// The request metrics of one thread.
///
/// The request path touches the registry of its own thread only. Series are added to the front of a list and
/// never removed before the registry is destroyed, so that other threads read them without a lock.
/// Thread safety: `record` on the owning thread only; `collect` from any thread.
class metric_registry {
public:
    /// `max_tenants` bounds the distinct pairs of service and tenant; requests of further ones are counted
    /// for the tenant `other`. Services and ranks are bounded by the declarations.
    explicit metric_registry(std::size_t max_tenants = 200);

    /// Precondition: no other thread reads any longer.
    ~metric_registry();
    metric_registry(const metric_registry&) = delete;
    metric_registry& operator=(const metric_registry&) = delete;
    metric_registry(metric_registry&&) = delete;
    metric_registry& operator=(metric_registry&&) = delete;

    /// Counts a request and how long it took. Precondition: service and rank are declared ones.
    void record(std::string_view service, std::string_view tenant, std::string_view rank, outcome result,
                std::chrono::microseconds latency);

    /// Adds the present counts to `totals`, so that the counts of all threads can be merged.
    void collect(std::map<metric_key, latency_buckets>& totals) const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

/// The tenant that stands for all beyond the bound of a registry.
inline constexpr std::string_view other_tenants = "other";

} // namespace base
