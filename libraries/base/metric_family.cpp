#include <base/metric_family.hpp>

namespace base {

namespace {

std::string name_of_outcome(outcome value) {
    switch (value) {
    case outcome::done:
        return "done";
    case outcome::not_run:
        return "not_run";
    case outcome::unknown:
        return "unknown";
    }
    return "unknown";
}

} // namespace

metric_family request_metrics(const std::map<metric_key, latency_buckets>& totals) {
    metric_family_fields family{.name_ = "sassafrasdeal_request_seconds",
                                .help_ = "Time from the arrival of a request to its answer.",
                                .kind_ = metric_kind::histogram,
                                .samples_ = {}};
    for (const auto& [key, buckets] : totals) {
        family.samples_.push_back(metric_sample{.labels_ = {{"service", key->service_},
                                                            {"tenant", key->tenant_},
                                                            {"rank", key->rank_},
                                                            {"outcome", name_of_outcome(key->outcome_)}},
                                                .value_ = buckets});
    }
    return family;
}

} // namespace base
