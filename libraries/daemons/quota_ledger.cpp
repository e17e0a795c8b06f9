#include <daemons/quota_ledger.hpp>

#include <daemons/rendezvous.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace daemons {

namespace {

using base::clock;

constexpr double ms_per_s = 1'000;
constexpr std::int64_t lent_slot_ms = 128;
// Bounds the work for large fleets: a request costs as much as the tenants that it names.
constexpr clock::duration advance_interval{20};
// Longer than a cut-off daemon is likely to stay away from the leader and in contact with databases.
constexpr clock::duration removed_daemon_retention{120'000};
constexpr clock::duration unmet_period{400};
constexpr double min_retry_ms = 10;
constexpr double max_retry_ms = 5'000;

double seconds(clock::duration length) noexcept {
    return static_cast<double>(length.count()) / ms_per_s;
}

} // namespace

quota_ledger::quota_ledger(std::uint64_t epoch, quota_bounds bounds, clock::time_point acquired_at,
                           clock::time_point lends_from)
    : epoch_{epoch}, bounds_{bounds}, lends_from_{lends_from}, advanced_at_{acquired_at} {}

void quota_ledger::set_limits(const std::map<std::string, quota_limit>& limits, clock::time_point now) {
    advance(now);
    std::unordered_map<std::uint64_t, bucket> buckets;
    for (const auto& [tenant, limit] : limits) {
        const auto hash = quota_hash(tenant);
        const auto found = buckets_.find(hash);
        bucket created;
        if (found != buckets_.end() && found->second.tenant_ == tenant) {
            refill(found->second, now);
            created = std::move(found->second);
        } else {
            created.tenant_ = tenant;
            created.filled_at_ = now;
            created.common_fill_s_ = common_fill_s_;
        }
        created.limit_ = limit;
        // The holders depend on the limit.
        created.fleet_version_ = 0;
        buckets.insert_or_assign(hash, std::move(created));
    }
    buckets_ = std::move(buckets);
}

void quota_ledger::set_fleet(std::vector<std::string> listed, std::size_t daemons, clock::time_point now) {
    if (listed == listed_ && daemons == running_) {
        return;
    }
    advance(now);
    listed_ = std::move(listed);
    running_ = daemons;
    ++fleet_version_;
    for (auto& [address, state] : daemons_) {
        state.is_listed_ = false;
    }
    for (const auto& address : listed_) {
        daemons_[address].is_listed_ = true;
    }
}

std::optional<quota_part> quota_ledger::respond(const std::string& daemon, const quota_part& request,
                                                clock::time_point now) {
    if (now < lends_from_) {
        return std::nullopt;
    }
    note_request(daemons_[daemon], request, now);
    advance(now);
    quota_part_fields response;
    response.epoch_ = epoch_;
    response.leader_time_ms_ = static_cast<std::uint64_t>(now.time_since_epoch().count());
    for (const auto& wanted : request->entries_) {
        const auto found = buckets_.find(wanted->tenant_);
        if (found != buckets_.end() && response.entries_.size() < max_quota_entries) {
            refill(found->second, now);
            response.entries_.push_back(lend(found->second, wanted, now));
        }
    }
    return quota_part{std::move(response)};
}

void quota_ledger::note_request(daemon_state& daemon, const quota_part& request, clock::time_point now) {
    daemon.last_request_at_ = now;
    daemon.daemons_ = request->daemons_;
    const clock::time_point responded_at{
        clock::duration{static_cast<clock::duration::rep>(request->leader_time_ms_)}};
    if (request->epoch_ != epoch_ || responded_at > now) {
        return;
    }
    if (now >= daemon.heard_until_) {
        daemon.heard_from_ = now;
    }
    daemon.heard_until_ = std::max(daemon.heard_until_, responded_at + quota_contact_timeout);
}

std::size_t quota_ledger::daemons_known_to(const daemon_state& daemon) const noexcept {
    return daemon.daemons_ == 0 ? running_ : daemon.daemons_;
}

double quota_ledger::used_part(const daemon_state& daemon, clock::time_point from,
                               clock::time_point to) noexcept {
    const auto span = to - from;
    if (span <= clock::duration{0}) {
        return 1;
    }
    const auto heard = std::min(to, daemon.heard_until_) - std::max(from, daemon.heard_from_);
    const auto heard_part = std::max(0.0, seconds(heard) / seconds(span));
    return 1 - (1 - local_part) * heard_part;
}

void quota_ledger::advance(clock::time_point now) {
    const auto span = now - advanced_at_;
    if (span < advance_interval) {
        return;
    }
    std::erase_if(daemons_, [now](const auto& item) {
        return !item.second.is_listed_ && now - item.second.last_request_at_ > removed_daemon_retention;
    });
    common_ = {};
    deviating_.clear();
    for (const auto& [address, state] : daemons_) {
        const auto known = daemons_known_to(state);
        if (known == 0) {
            continue;
        }
        const auto share = 1 / static_cast<double>(known);
        common_.capacity_ += share;
        common_.rate_ += share * used_part(state, advanced_at_, now);
        if (known != running_) {
            deviating_.push_back(address);
        }
    }
    if (running_ > daemons_.size()) {
        const auto absent = static_cast<double>(running_ - daemons_.size()) / static_cast<double>(running_);
        common_.capacity_ += absent;
        common_.rate_ += absent;
    }
    if (running_ > 0) {
        common_fill_s_ += seconds(span) * std::max(0.0, 1 - common_.rate_);
    }
    advanced_at_ = now;
}

void quota_ledger::find_holders(bucket& filled) const {
    filled.fleet_version_ = fleet_version_;
    filled.holders_.clear();
    filled.holder_count_ = count_holders(filled.limit_, bounds_, running_);
    const auto listed_holders = count_listed_holders(filled.holder_count_, listed_.size(), running_);
    if (filled.holder_count_ >= running_ || listed_holders == 0) {
        return;
    }
    std::vector<std::pair<std::uint64_t, std::size_t>> weights;
    for (std::size_t index = 0; index < listed_.size(); ++index) {
        weights.emplace_back(rendezvous_weight(filled.tenant_, listed_[index]), index);
    }
    std::partial_sort(weights.begin(), weights.begin() + static_cast<std::ptrdiff_t>(listed_holders),
                      weights.end(), std::greater<>{});
    for (std::size_t index = 0; index < listed_holders; ++index) {
        filled.holders_.push_back(listed_[weights[index].second]);
    }
}

quota_ledger::share_sums quota_ledger::sum_shares(const bucket& filled, clock::time_point from,
                                                  clock::time_point to) const {
    share_sums sums;
    if (filled.holder_count_ == 0) {
        return sums;
    }
    const auto share = 1 / static_cast<double>(filled.holder_count_);
    const auto absent = static_cast<double>(filled.holder_count_ - filled.holders_.size()) * share;
    sums.capacity_ = absent + static_cast<double>(filled.holders_.size()) * share;
    sums.rate_ = absent;
    for (const auto& address : filled.holders_) {
        const auto found = daemons_.find(address);
        sums.rate_ += share * (found == daemons_.end() ? 1 : used_part(found->second, from, to));
    }
    for (const auto& address : deviating_) {
        const auto found = daemons_.find(address);
        const bool is_counted =
            std::find(filled.holders_.begin(), filled.holders_.end(), address) != filled.holders_.end();
        if (found == daemons_.end() || is_counted) {
            continue;
        }
        // It may hold a bucket by its own count.
        const auto holders = count_holders(filled.limit_, bounds_, daemons_known_to(found->second));
        const auto own_share = 1 / static_cast<double>(std::max<std::size_t>(holders, 1));
        sums.capacity_ += own_share;
        sums.rate_ += own_share * used_part(found->second, from, to);
    }
    return sums;
}

void quota_ledger::refill(bucket& filled, clock::time_point now) {
    if (filled.fleet_version_ != fleet_version_) {
        find_holders(filled);
    }
    const auto rate = daemons::fill_rate(filled.limit_, bounds_);
    double added = 0;
    share_sums sums;
    if (filled.holder_count_ >= running_) {
        sums = common_;
        added = rate * (common_fill_s_ - filled.common_fill_s_);
    } else {
        sums = sum_shares(filled, filled.filled_at_, now);
        added = rate * seconds(now - filled.filled_at_) * std::max(0.0, 1 - sums.rate_);
    }
    filled.fill_rate_ = rate * std::max(0.0, 1 - sums.rate_);
    filled.common_fill_s_ = common_fill_s_;
    filled.filled_at_ = now;
    // Tokens of the daemons' own buckets may be returned for a while after they were taken.
    const auto returnable = seconds(max_token_return_age) * rate * sums.rate_;
    filled.capacity_ =
        std::max(0.0, total_capacity(filled.limit_, bounds_) -
                          sums.capacity_ * local_capacity(filled.limit_, bounds_) - returnable);
    filled.content_ =
        std::min(filled.content_ + added, std::max(0.0, filled.capacity_ - outstanding(filled, now)));
}

double quota_ledger::outstanding(const bucket& lender, clock::time_point now) noexcept {
    double sum = 0;
    const auto now_ms = now.time_since_epoch().count();
    for (const auto& slot : lender.lent_) {
        const auto void_at = (slot.number_ + 1) * lent_slot_ms + lent_token_lifetime.count();
        sum += void_at > now_ms ? slot.count_ : 0;
    }
    return sum;
}

std::uint32_t quota_ledger::estimate_retry(bucket& lender, double unmet, clock::time_point now) noexcept {
    if (now - lender.unmet_since_ >= unmet_period) {
        const bool is_adjacent = now - lender.unmet_since_ < 2 * unmet_period;
        lender.previous_unmet_ = is_adjacent ? lender.unmet_ : 0;
        lender.unmet_ = 0;
        lender.unmet_since_ = now;
    }
    lender.unmet_ += unmet;
    const auto wanted = std::max(lender.unmet_, lender.previous_unmet_);
    const auto wait_ms = lender.fill_rate_ > 0 ? (wanted - lender.content_) / lender.fill_rate_ * ms_per_s
                                               : static_cast<double>(quota_contact_timeout.count());
    return static_cast<std::uint32_t>(std::clamp(wait_ms, min_retry_ms, max_retry_ms));
}

quota_entry quota_ledger::lend(bucket& lender, const quota_entry& wanted, clock::time_point now) {
    const auto available = std::floor(std::max(0.0, lender.content_));
    const auto count = std::min(available, static_cast<double>(wanted->count_));
    quota_entry_fields entry;
    entry.tenant_ = wanted->tenant_;
    entry.count_ = static_cast<std::uint32_t>(count);
    if (count > 0) {
        lender.content_ -= count;
        const auto number = now.time_since_epoch().count() / lent_slot_ms;
        auto& slot = lender.lent_[static_cast<std::size_t>(number) % lender.lent_.size()];
        slot = slot.number_ == number ? lent_slot{number, slot.count_ + count} : lent_slot{number, count};
    }
    const auto unmet = static_cast<double>(wanted->count_) - count;
    if (unmet > 0) {
        entry.retry_after_ms_ = estimate_retry(lender, unmet, now);
    }
    return quota_entry{entry};
}

} // namespace daemons
