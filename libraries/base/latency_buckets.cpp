#include <base/latency_buckets.hpp>

#include <algorithm>
#include <cmath>
#include <numeric>

namespace base {

std::size_t bucket_of(std::uint64_t latency_us) noexcept {
    const auto* found = std::lower_bound(latency_bounds_us.begin(), latency_bounds_us.end(), latency_us);
    return static_cast<std::size_t>(found - latency_bounds_us.begin());
}

std::uint64_t count_of(const latency_buckets& buckets) noexcept {
    return std::accumulate(buckets->counts_.begin(), buckets->counts_.end(), std::uint64_t{0});
}

latency_buckets merge(const latency_buckets& one, const latency_buckets& other) {
    return one.with([&](latency_buckets_fields& merged) {
        for (std::size_t index = 0; index < merged.counts_.size(); ++index) {
            merged.counts_.at(index) += other->counts_.at(index);
        }
        merged.sum_us_ += other->sum_us_;
        merged.max_us_ = std::max(merged.max_us_, other->max_us_);
    });
}

std::chrono::microseconds estimate_quantile(const latency_buckets& buckets, double quantile) {
    const auto count = count_of(buckets);
    const auto wanted = std::max<std::uint64_t>(
        static_cast<std::uint64_t>(std::ceil(quantile * static_cast<double>(count))), 1);
    std::uint64_t below = 0;
    for (std::size_t index = 0; index < latency_bounds_us.size(); ++index) {
        below += buckets->counts_.at(index);
        if (below >= wanted) {
            return std::chrono::microseconds{std::min(latency_bounds_us.at(index), buckets->max_us_)};
        }
    }
    return std::chrono::microseconds{buckets->max_us_};
}

} // namespace base
