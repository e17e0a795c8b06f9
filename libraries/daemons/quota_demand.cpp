#include <daemons/quota_demand.hpp>

#include <algorithm>
#include <cmath>

namespace daemons {

namespace {

constexpr double ms_per_s = 1'000;
constexpr double arrival_time_constant_ms = 500;
constexpr double max_wanted = 100'000;
constexpr base::clock::duration min_early_request_interval{25};
constexpr std::size_t early_requests_per_ms = 4;

} // namespace

std::uint32_t wanted_tokens(const quota_demand& demand) noexcept {
    const auto span_s = static_cast<double>(quota_demand_span.count()) / ms_per_s;
    const auto expected = demand.arrivals_per_s_ * span_s;
    const auto supplied =
        static_cast<double>(demand.lent_) + std::floor(demand.local_ + demand.local_per_s_ * span_s);
    const auto wanted = std::floor(expected - supplied);
    return static_cast<std::uint32_t>(
        std::clamp(std::max(wanted, static_cast<double>(demand.waiting_)), 0.0, max_wanted));
}

void keep_greatest_entries(std::vector<quota_entry>& entries) {
    std::sort(entries.begin(), entries.end(),
              [](const auto& first, const auto& second) { return first->count_ > second->count_; });
    if (entries.size() > max_quota_entries) {
        entries.resize(max_quota_entries);
    }
}

double next_arrival_rate(double rate, std::uint64_t count, base::clock::duration span) noexcept {
    const auto span_ms = static_cast<double>(span.count());
    const auto current = static_cast<double>(count) / span_ms * ms_per_s;
    return rate + (current - rate) * (1 - std::exp(-span_ms / arrival_time_constant_ms));
}

base::clock::duration early_request_interval(std::size_t daemons) noexcept {
    return std::max(min_early_request_interval, base::clock::duration{static_cast<base::clock::duration::rep>(
                                                    daemons / early_requests_per_ms)});
}

} // namespace daemons
