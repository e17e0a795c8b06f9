#include <daemons/quota_share.hpp>

#include <daemons/quota_demand.hpp>

#include <algorithm>
#include <cmath>

namespace daemons {

namespace {

constexpr double ms_per_s = 1'000;
constexpr double max_interval_ms = 60'000;

} // namespace

void quota_share::set_bucket(quota_tokens& tokens, const quota_limit& limit, const quota_bounds& bounds,
                             std::string_view daemon, std::span<const std::string> listed,
                             std::size_t daemons) noexcept {
    fill_rate_ = fill_rate(limit, bounds);
    bucket_ =
        daemons == 0 ? local_bucket{} : local_bucket_of(tenant_, limit, bounds, daemon, listed, daemons);
    tokens.fill_local(0, bucket_.capacity_);
}

void quota_share::fill(quota_tokens& tokens, double part, base::clock::time_point now) noexcept {
    const auto span_s = static_cast<double>((now - filled_at_).count()) / ms_per_s;
    filled_at_ = now;
    tokens.fill_local(part * bucket_.share_ * fill_rate_ * span_s, bucket_.capacity_);
}

void quota_share::note_arrivals(std::uint64_t arrivals, base::clock::time_point now) noexcept {
    const auto span = now - measured_at_;
    if (arrivals != arrivals_) {
        last_arrival_at_ = now;
    }
    if (span > base::clock::duration{0}) {
        arrivals_per_s_ = next_arrival_rate(arrivals_per_s_, arrivals - arrivals_, span);
        arrivals_ = arrivals;
        measured_at_ = now;
    }
}

std::uint32_t quota_share::wanted(const quota_tokens& tokens, std::uint32_t waiting,
                                  base::clock::time_point now) const noexcept {
    quota_demand demand;
    demand.arrivals_per_s_ = arrivals_per_s_;
    demand.waiting_ = waiting;
    demand.lent_ = tokens.lent_content(now);
    demand.local_ = tokens.local_content();
    demand.local_per_s_ = local_part * bucket_.share_ * fill_rate_;
    return wanted_tokens(demand);
}

base::clock::duration quota_share::token_interval(double part) const noexcept {
    const auto per_s = part * bucket_.share_ * fill_rate_;
    const auto interval_ms = per_s > 0 ? std::min(std::ceil(ms_per_s / per_s), max_interval_ms) : 0;
    return base::clock::duration{static_cast<base::clock::duration::rep>(interval_ms)};
}

} // namespace daemons
