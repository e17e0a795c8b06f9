#include <proxy/quota_control.hpp>

#include <daemons/quota_demand.hpp>
#include <daemons/quota_share.hpp>

#include <algorithm>
#include <utility>

namespace proxy {

namespace {

using base::clock;

// A tenant without operations for longer is left out of all periodic work.
constexpr clock::duration max_idle{10'000};
// The next response of the leader is due earlier.
constexpr clock::duration max_exhausted{450};

} // namespace

void quota_control::apply(const operators::session_routes& routes, clock::time_point now) {
    std::map<std::string, daemons::quota_limit> limits;
    for (const auto& [name, tenant] : routes->tenants_) {
        if (tenant.rate_) {
            limits.emplace(name, daemons::quota_limit{*tenant.rate_, tenant.burst_});
        }
    }
    if (limits == limits_) {
        return;
    }
    tick(now);
    const auto current = shared_.quotas_.get();
    quota_table::tenants entries;
    for (const auto& [name, limit] : limits) {
        auto state = current->find(name);
        const auto previous = limits_.find(name);
        if (!state) {
            state = std::make_shared<tenant_quota>(name);
        } else if (previous != limits_.end() &&
                   (limit.rate_ < previous->second.rate_ || limit.burst_ < previous->second.burst_)) {
            state->tokens_.void_lent();
        }
        entries.emplace(name, std::move(state));
    }
    limits_ = std::move(limits);
    ++version_;
    std::erase_if(active_, [this](const auto& item) { return !limits_.contains(item.second.state_->name_); });
    std::erase_if(idle_, [this](const auto& item) { return !limits_.contains(item.second.tenant()); });
    for (const auto& [name, limit] : limits_) {
        const auto hash = daemons::quota_hash(name);
        if (!active_.contains(hash)) {
            idle_.try_emplace(hash, name, now);
        }
    }
    shared_.quotas_.publish(quota_table{std::move(entries)});
    update_buckets();
    clear_idle_buckets(now);
}

void quota_control::set_fleet(std::vector<std::string> listed, std::size_t reported, clock::time_point now) {
    if (!listed.empty() || reported > 0) {
        fleet_sizes_.note(std::max(listed.size(), reported), now);
    }
    const auto size = fleet_sizes_.greatest(now);
    if (listed == listed_ && size == daemons_) {
        return;
    }
    tick(now);
    const bool has_grown = size > daemons_;
    listed_ = std::move(listed);
    daemons_ = size;
    ++version_;
    update_buckets();
    if (has_grown) {
        // The shares of the others have become smaller, and their capacities are not known yet.
        clear_idle_buckets(now);
    }
}

void quota_control::update_buckets() {
    for (auto& [hash, tenant] : active_) {
        update_bucket(tenant);
    }
}

void quota_control::clear_idle_buckets(clock::time_point now) {
    for (auto& [hash, share] : idle_) {
        share.skip_until(now);
    }
    const auto table = shared_.quotas_.get();
    for (const auto& [name, state] : table->entries()) {
        if (!state->is_active_.load(std::memory_order_relaxed)) {
            state->tokens_.fill_local(0, 0);
        }
    }
}

void quota_control::update_bucket(active_tenant& tenant) const {
    tenant.share_.set_bucket(tenant.state_->tokens_, limits_.at(tenant.state_->name_), bounds_, address_,
                             listed_, daemons_);
}

void quota_control::tick(clock::time_point now) {
    const auto part = contact_.part_until(now);
    const auto next_part = contact_.fill_part(now);
    for (auto& [hash, tenant] : active_) {
        auto& state = *tenant.state_;
        tenant.share_.fill(state.tokens_, part, now);
        tenant.share_.note_arrivals(state.arrivals_.load(std::memory_order_relaxed), now);
        state.local_interval_ms_.store(
            static_cast<std::uint32_t>(tenant.share_.token_interval(next_part).count()),
            std::memory_order_relaxed);
    }
    std::erase_if(active_, [this, now](auto& item) {
        const bool is_idle = now - item.second.share_.last_arrival_at() > max_idle;
        if (is_idle) {
            item.second.state_->is_active_.store(false, std::memory_order_release);
            idle_.insert_or_assign(item.first, std::move(item.second.share_));
        }
        return is_idle;
    });
    if (shared_.quota_signal_.take_activation_request()) {
        activate_tenants(now);
    }
}

void quota_control::activate_tenants(clock::time_point now) {
    const auto table = shared_.quotas_.get();
    for (const auto& [name, state] : table->entries()) {
        const auto hash = daemons::quota_hash(name);
        if (!state->is_requested_.exchange(false, std::memory_order_acq_rel) || active_.contains(hash)) {
            continue;
        }
        const auto idle = idle_.extract(hash);
        active_tenant tenant{state, idle ? idle.mapped() : daemons::quota_share{name, now}};
        // The first operations have just arrived and are not part of a rate.
        tenant.share_.skip_arrivals(state->arrivals_.load(std::memory_order_relaxed), now);
        update_bucket(tenant);
        tenant.share_.skip_until(contact_.fills_from());
        if (now >= contact_.fills_from()) {
            // The leader may have counted on this daemon all the time.
            tenant.share_.fill(state->tokens_, daemons::local_part, now);
        }
        state->is_active_.store(true, std::memory_order_release);
        active_.emplace(hash, std::move(tenant));
    }
}

bool quota_control::is_waited_for() const noexcept {
    return std::any_of(active_.begin(), active_.end(), [](const auto& item) {
        return item.second.state_->waiting_.load(std::memory_order_relaxed) > 0;
    });
}

daemons::quota_part quota_control::make_request(std::uint64_t number, clock::time_point now) {
    tick(now);
    contact_.note_request(number, now);
    daemons::quota_part_fields request;
    request.daemons_ = static_cast<std::uint32_t>(daemons_);
    contact_.acknowledge(request, now);
    for (const auto& [hash, tenant] : active_) {
        const auto waiting = tenant.state_->waiting_.load(std::memory_order_relaxed);
        if (const auto count = tenant.share_.wanted(tenant.state_->tokens_, waiting, now); count > 0) {
            request.entries_.push_back(daemons::quota_entry{daemons::quota_entry_fields{hash, count, 0}});
        }
    }
    daemons::keep_greatest_entries(request.entries_);
    return daemons::quota_part{std::move(request)};
}

void quota_control::handle_response(std::uint64_t number, const daemons::quota_part& response,
                                    clock::time_point now) {
    tick(now);
    const auto expiry = contact_.note_response(number, response->epoch_, response->leader_time_ms_, now);
    if (!expiry) {
        return;
    }
    shared_.quota_signal_.set_leader_until(now + daemons::quota_contact_timeout);
    for (const auto& entry : response->entries_) {
        const auto found = active_.find(entry->tenant_);
        if (found == active_.end()) {
            continue;
        }
        auto& state = *found->second.state_;
        state.tokens_.add_lent(entry->count_, *expiry, now);
        const auto retry = clock::duration{entry->retry_after_ms_};
        const auto now_ms = now.time_since_epoch().count();
        const auto exhausted = std::min(retry, max_exhausted);
        state.retry_at_ms_.store(now_ms + retry.count(), std::memory_order_relaxed);
        state.exhausted_until_ms_.store(now_ms + exhausted.count(), std::memory_order_relaxed);
    }
}

} // namespace proxy
