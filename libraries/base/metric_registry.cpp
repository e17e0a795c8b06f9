#include <base/metric_registry.hpp>

#include <base/latency_histogram.hpp>

#include <atomic>
#include <set>
#include <string>
#include <tuple>
#include <utility>

namespace base {

namespace {

/// Views into a key, so that a look-up copies no string.
using key_view = std::tuple<std::string_view, std::string_view, std::string_view, outcome>;
using tenant_view = std::pair<std::string_view, std::string_view>;

struct series {
    explicit series(metric_key counted) : key_{std::move(counted)} {}

    metric_key key_;
    latency_histogram histogram_;
    /// Set before the series is published and constant afterwards.
    series* next_ = nullptr;
};

} // namespace

struct metric_registry::state {
    explicit state(std::size_t max_tenants) : max_tenants_{max_tenants} {}

    std::size_t max_tenants_;
    /// The series of the look-up below; read by other threads from here only.
    std::atomic<series*> first_{nullptr};
    /// Keys view into the series that they lead to.
    std::map<key_view, std::unique_ptr<series>> series_;
    /// Views into the key of the first series of each pair of service and tenant.
    std::set<tenant_view> tenants_;

    series& add(const key_view& key) {
        const auto& [service, tenant, rank, result] = key;
        auto owned = std::make_unique<series>(
            metric_key_fields{std::string{service}, std::string{tenant}, std::string{rank}, result});
        auto& added = *owned;
        const auto& own = *added.key_;
        if (tenant != other_tenants) {
            tenants_.emplace(own.service_, own.tenant_);
        }
        added.next_ = first_.load(std::memory_order_relaxed);
        series_.emplace(key_view{own.service_, own.tenant_, own.rank_, own.outcome_}, std::move(owned));
        // Releases the key and the empty histogram to the threads that collect.
        first_.store(&added, std::memory_order_release);
        return added;
    }
};

metric_registry::metric_registry(std::size_t max_tenants) : state_{std::make_unique<state>(max_tenants)} {}

metric_registry::~metric_registry() = default;

void metric_registry::record(std::string_view service, std::string_view tenant, std::string_view rank,
                             outcome result, std::chrono::microseconds latency) {
    const bool is_counted_alone = state_->tenants_.contains(tenant_view{service, tenant}) ||
                                  state_->tenants_.size() < state_->max_tenants_;
    const key_view key{service, is_counted_alone ? tenant : other_tenants, rank, result};
    const auto found = state_->series_.find(key);
    auto& counted = found == state_->series_.end() ? state_->add(key) : *found->second;
    counted.histogram_.record(latency);
}

void metric_registry::collect(std::map<metric_key, latency_buckets>& totals) const {
    for (const auto* current = state_->first_.load(std::memory_order_acquire); current != nullptr;
         current = current->next_) {
        auto& total = totals[current->key_];
        total = merge(total, current->histogram_.buckets());
    }
}

} // namespace base
