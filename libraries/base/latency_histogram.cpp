#include <base/latency_histogram.hpp>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <algorithm>

namespace base {

namespace accumulators = boost::accumulators;

namespace {

using moments = accumulators::accumulator_set<
    double, accumulators::stats<accumulators::tag::count, accumulators::tag::mean, accumulators::tag::max>>;
using quantile =
    accumulators::accumulator_set<double, accumulators::stats<accumulators::tag::p_square_quantile>>;

/// The P-square estimate holds once each of its markers has a value.
constexpr std::size_t quantile_markers = 5;

/// Adds with a plain load and store: only the owning thread writes.
void add(std::atomic<std::uint64_t>& counter, std::uint64_t number) {
    counter.store(counter.load(std::memory_order_relaxed) + number, std::memory_order_relaxed);
}

} // namespace

struct latency_histogram::statistics {
    moments moments_;
    quantile median_{accumulators::quantile_probability = 0.5};
    quantile quantile_99_{accumulators::quantile_probability = 0.99};
};

latency_histogram::latency_histogram() : statistics_{std::make_unique<statistics>()} {}

latency_histogram::~latency_histogram() = default;

void latency_histogram::record(std::chrono::microseconds latency) {
    const auto microseconds =
        static_cast<std::uint64_t>(std::max<std::chrono::microseconds::rep>(latency.count(), 0));
    add(counts_.at(bucket_of(microseconds)), 1);
    add(sum_us_, microseconds);
    max_us_.store(std::max(max_us_.load(std::memory_order_relaxed), microseconds), std::memory_order_relaxed);
    const auto value = static_cast<double>(microseconds);
    statistics_->moments_(value);
    statistics_->median_(value);
    statistics_->quantile_99_(value);
}

latency_summary latency_histogram::summary() const {
    const auto& values = statistics_->moments_;
    const auto count = accumulators::count(values);
    if (count == 0) {
        return {};
    }
    const auto estimate = [&](const quantile& estimated, double probability) {
        return count < quantile_markers
                   ? static_cast<double>(estimate_quantile(buckets(), probability).count())
                   : accumulators::p_square_quantile(estimated);
    };
    return latency_summary_fields{.count_ = count,
                                  .mean_us_ = accumulators::mean(values),
                                  .max_us_ = accumulators::max(values),
                                  .median_us_ = estimate(statistics_->median_, 0.5),
                                  .quantile_99_us_ = estimate(statistics_->quantile_99_, 0.99)};
}

latency_buckets latency_histogram::buckets() const {
    latency_buckets_fields read;
    for (std::size_t index = 0; index < counts_.size(); ++index) {
        read.counts_.at(index) = counts_.at(index).load(std::memory_order_relaxed);
    }
    read.sum_us_ = sum_us_.load(std::memory_order_relaxed);
    read.max_us_ = max_us_.load(std::memory_order_relaxed);
    return read;
}

} // namespace base
