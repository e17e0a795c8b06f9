#include <backends/load_estimate.hpp>

#include <algorithm>
#include <cmath>
#include <functional>

namespace backends {

namespace {

// About four statements: with a few statements a second, ten would take longer than most faults last.
constexpr double sample_weight = 0.25;
constexpr double mean_weight = 0.02;
// Failures are rarer and cost the caller more than a slow response.
constexpr double failure_weight = 0.3;
constexpr double max_failure_rate = 0.9;
// A statement that failed runs again elsewhere, and a connection may have to be opened.
constexpr double failure_exponent = 3;
constexpr double unknown_relative_duration = 2;
// One outlier counts as at most this many times the mean.
constexpr double max_sample = 20;
constexpr double min_sample = 0.05;
// Shorter than most faults, long enough to learn from a few statements a second.
constexpr double half_life_ms = 3'000;
// Durations are measured in whole milliseconds.
constexpr double timer_error_ms = 1;

} // namespace

load_estimate load_estimate::of_unknown(base::clock::time_point now) noexcept {
    load_estimate estimate;
    estimate.relative_duration_ = unknown_relative_duration;
    estimate.updated_at_ = now;
    return estimate;
}

load_estimate load_estimate::aged(base::clock::time_point now) const noexcept {
    const auto age = std::max(now - updated_at_, base::clock::duration{0});
    const auto remaining = std::exp2(-static_cast<double>(age.count()) / half_life_ms);
    auto result = *this;
    result.relative_duration_ = 1 + (relative_duration_ - 1) * remaining;
    result.failure_rate_ = failure_rate_ * remaining;
    result.updated_at_ = std::max(now, updated_at_);
    return result;
}

load_estimate load_estimate::with_response(double relative_duration,
                                           base::clock::time_point now) const noexcept {
    auto result = aged(now);
    const auto sample = std::clamp(relative_duration, min_sample, max_sample);
    result.relative_duration_ += (sample - result.relative_duration_) * sample_weight;
    result.failure_rate_ -= result.failure_rate_ * failure_weight;
    return result;
}

load_estimate load_estimate::with_failure(base::clock::time_point now) const noexcept {
    auto result = aged(now);
    result.failure_rate_ += (max_failure_rate - result.failure_rate_) * failure_weight;
    return result;
}

double load_estimate::cost(base::clock::time_point now) const noexcept {
    const auto current = aged(now);
    return current.relative_duration_ / std::pow(1 - current.failure_rate_, failure_exponent);
}

priority_durations priority_durations::with_response(base::clock::duration elapsed,
                                                     std::uint32_t priority) const noexcept {
    auto result = *this;
    auto& mean = result.mean_ms_.at(std::min<std::size_t>(priority, priority_classes - 1));
    const auto sample = static_cast<double>(elapsed.count()) + timer_error_ms;
    mean = mean == 0 ? sample : mean + (sample - mean) * mean_weight;
    return result;
}

double priority_durations::relative_duration(base::clock::duration elapsed,
                                             std::uint32_t priority) const noexcept {
    const auto mean = mean_ms_.at(std::min<std::size_t>(priority, priority_classes - 1));
    return mean == 0 ? 1 : (static_cast<double>(elapsed.count()) + timer_error_ms) / mean;
}

double first_turn(std::uint64_t daemon_seed, std::string_view database) noexcept {
    // The finalizer of SplitMix64, so that similar names give unrelated turns.
    auto bits = daemon_seed ^ std::hash<std::string_view>{}(database);
    bits = (bits ^ (bits >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    bits = (bits ^ (bits >> 27U)) * 0x94d049bb133111ebULL;
    bits ^= bits >> 31U;
    return std::ldexp(static_cast<double>(bits >> 11U), -53);
}

} // namespace backends
