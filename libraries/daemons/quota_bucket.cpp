#include <daemons/quota_bucket.hpp>

#include <daemons/rendezvous.hpp>

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace daemons {

namespace {

constexpr double usable_slack = 0.8;
constexpr double over_part_of_rate = 0.5;
// A daemon that serves several times the mean load needs most of the burst from the leader, and one without a
// leader needs some of its own.
constexpr double local_capacity_part = 1.0 / 3;
constexpr double ms_per_s = 1'000;

} // namespace

double fill_rate(const quota_limit& limit, const quota_bounds& bounds) noexcept {
    return limit.rate_ * (1 + over_part_of_rate * bounds.over_);
}

double total_capacity(const quota_limit& limit, const quota_bounds& bounds) noexcept {
    const auto window_s = static_cast<double>(bounds.window_.count()) / ms_per_s;
    return (limit.rate_ * window_s + limit.burst_) * (1 + bounds.over_) + usable_slack * bounds.slack_ -
           fill_rate(limit, bounds) * window_s;
}

double local_capacity(const quota_limit& limit, const quota_bounds& bounds) noexcept {
    return local_capacity_part * total_capacity(limit, bounds);
}

std::size_t count_holders(const quota_limit& limit, const quota_bounds& bounds,
                          std::size_t daemons) noexcept {
    const auto whole = static_cast<std::size_t>(std::max(0.0, std::floor(local_capacity(limit, bounds))));
    return std::min(daemons, whole);
}

std::size_t count_listed_holders(std::size_t holders, std::size_t listed, std::size_t daemons) noexcept {
    return daemons <= listed ? holders : holders * listed / daemons;
}

bool is_holder(std::string_view tenant, std::string_view daemon, std::span<const std::string> listed,
               std::size_t holders) noexcept {
    if (holders >= listed.size()) {
        return true;
    }
    const auto own_weight = rendezvous_weight(tenant, daemon);
    std::size_t greater = 0;
    for (const auto& other : listed) {
        greater += rendezvous_weight(tenant, other) > own_weight ? 1U : 0U;
        if (greater >= holders) {
            return false;
        }
    }
    return holders > 0;
}

local_bucket local_bucket_of(std::string_view tenant, const quota_limit& limit, const quota_bounds& bounds,
                             std::string_view daemon, std::span<const std::string> listed,
                             std::size_t daemons) noexcept {
    const auto holders = count_holders(limit, bounds, daemons);
    const auto listed_holders = count_listed_holders(holders, listed.size(), daemons);
    if (listed_holders == 0 || !is_holder(tenant, daemon, listed, listed_holders)) {
        return {};
    }
    const auto share = 1 / static_cast<double>(holders);
    return {share, share * local_capacity(limit, bounds)};
}

std::uint64_t quota_hash(std::string_view tenant) noexcept {
    return XXH3_64bits(tenant.data(), tenant.size());
}

} // namespace daemons
