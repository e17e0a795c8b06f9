#include <base/metric_registry.hpp>

#include <base/latency_histogram.hpp>

#include <atomic>
#include <set>
#include <string>
#include <tuple>
#include <utility>

namespace base {

namespace {

/// Views into the strings of a key, so that a lookup copies no string.
using key_view = std::tuple<std::string_view, std::string_view, std::string_view, outcome>;
using tenant_view = std::pair<std::string_view, std::string_view>;

struct series {
    explicit series(metric_key key) : key_{std::move(key)} {}

    metric_key key_;
    latency_histogram histogram_;
    /// The next series in the registry's list; constant once this series is published.
    series* next_ = nullptr;
};

} // namespace

struct metric_registry::state {
    explicit state(std::size_t max_tenants) : max_tenants_{max_tenants} {}

    std::size_t max_tenants_;
    /// Head of the linked list of all series, which other threads read; they never read the members below.
    std::atomic<series*> first_{nullptr};
    /// The series by key, for the owning thread. Each key views into the series that it maps to.
    std::map<key_view, std::unique_ptr<series>> series_;
    /// The pairs of service and tenant that have series of their own; views into the key of the first one.
    std::set<tenant_view> tenants_;

    series& add(const key_view& key) {
        const auto& [service, tenant, rank, result] = key;
        auto owned = std::make_unique<series>(
            metric_key_fields{std::string{service}, std::string{tenant}, std::string{rank}, result});
        auto& added = *owned;
        const auto& stored_key = *added.key_;
        if (tenant != other_tenants) {
            tenants_.emplace(stored_key.service_, stored_key.tenant_);
        }
        added.next_ = first_.load(std::memory_order_relaxed);
        series_.emplace(
            key_view{stored_key.service_, stored_key.tenant_, stored_key.rank_, stored_key.outcome_},
            std::move(owned));
        // Release: makes the key and the empty histogram visible to threads that collect.
        first_.store(&added, std::memory_order_release);
        return added;
    }
};

metric_registry::metric_registry(std::size_t max_tenants) : state_{std::make_unique<state>(max_tenants)} {}

metric_registry::~metric_registry() = default;

void metric_registry::record(std::string_view service, std::string_view tenant, std::string_view rank,
                             outcome result, std::chrono::microseconds latency) {
    const bool has_own_series = state_->tenants_.contains(tenant_view{service, tenant}) ||
                                state_->tenants_.size() < state_->max_tenants_;
    const key_view key{service, has_own_series ? tenant : other_tenants, rank, result};
    const auto found = state_->series_.find(key);
    auto& target = found == state_->series_.end() ? state_->add(key) : *found->second;
    target.histogram_.record(latency);
}

void metric_registry::collect(std::map<metric_key, latency_buckets>& totals) const {
    for (const auto* current = state_->first_.load(std::memory_order_acquire); current != nullptr;
         current = current->next_) {
        auto& total = totals[current->key_];
        total = merge(total, current->histogram_.buckets());
    }
}

} // namespace base
