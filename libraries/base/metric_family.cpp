#include <base/metric_family.hpp>

namespace base {

metric_family request_metrics(const std::map<metric_key, latency_buckets>& totals) {
    metric_family_fields family{.name_ = "sassafrasdeal_request_seconds",
                                .help_ = "Time from the arrival of a request to its response.",
                                .kind_ = metric_kind::histogram,
                                .samples_ = {}};
    for (const auto& [key, buckets] : totals) {
        family.samples_.push_back(metric_sample{.labels_ = {{"service", key->service_},
                                                            {"tenant", key->tenant_},
                                                            {"rank", key->rank_},
                                                            {"outcome", std::string{name_of(key->outcome_)}}},
                                                .value_ = buckets});
    }
    return family;
}

} // namespace base
