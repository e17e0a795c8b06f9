#include <utilities/sassafras_load/work_result.hpp>

#include <algorithm>
#include <cmath>

namespace sassafras_load {

namespace {

constexpr double microseconds_in_millisecond = 1'000;

} // namespace

void work_result::count_response(const caller_response& response, std::chrono::microseconds latency) {
    switch (response->outcome_) {
    case base::outcome::done:
        latencies_us_.push_back(latency.count());
        served_by_replicas_ += response->served_by_ == base::database_role::replica ? 1U : 0U;
        break;
    case base::outcome::not_run:
        ++not_run_;
        break;
    case base::outcome::unknown:
        ++unknown_;
        break;
    }
    if (response->error_) {
        ++errors_[std::string{base::name_of(*response->error_)}];
    }
}

void work_result::merge(const work_result& other) {
    offered_ += other.offered_;
    unsent_ += other.unsent_;
    repeats_ += other.repeats_;
    done_in_run_ += other.done_in_run_;
    not_run_ += other.not_run_;
    unknown_ += other.unknown_;
    served_by_replicas_ += other.served_by_replicas_;
    for (const auto& [kind, count] : other.errors_) {
        errors_[kind] += count;
    }
    latencies_us_.insert(latencies_us_.end(), other.latencies_us_.begin(), other.latencies_us_.end());
}

double work_result::latency_ms(double quantile) const {
    if (latencies_us_.empty()) {
        return 0;
    }
    auto ordered = latencies_us_;
    const auto rank = std::ceil(quantile * static_cast<double>(ordered.size()));
    const auto index = static_cast<std::ptrdiff_t>(std::max(rank, 1.0)) - 1;
    std::nth_element(ordered.begin(), ordered.begin() + index, ordered.end());
    return static_cast<double>(ordered[static_cast<std::size_t>(index)]) / microseconds_in_millisecond;
}

} // namespace sassafras_load
