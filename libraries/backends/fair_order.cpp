#include <backends/fair_order.hpp>

#include <algorithm>

namespace backends {

namespace {

// Tenants whose next statement is no longer delayed are removed when more than this many are tracked.
constexpr std::size_t max_tracked_tenants = 256;

} // namespace

double fair_order::arrive(const tenant_share& share) {
    if (share.tenant_.empty()) {
        return 0;
    }
    const auto found = next_tags_.find(share.tenant_);
    const auto tag = found == next_tags_.end() ? started_tag_ : std::max(started_tag_, found->second);
    const auto next = tag + share.cost_ms_ / share.weight_;
    if (found != next_tags_.end()) {
        found->second = next;
    } else {
        next_tags_.emplace(share.tenant_, next);
    }
    return tag;
}

void fair_order::withdraw(const tenant_share& share) {
    const auto found = next_tags_.find(share.tenant_);
    if (found != next_tags_.end()) {
        found->second -= share.cost_ms_ / share.weight_;
    }
}

void fair_order::start(double tag) {
    started_tag_ = std::max(started_tag_, tag);
    if (next_tags_.size() > max_tracked_tenants) {
        forget_idle_tenants();
    }
}

void fair_order::forget_idle_tenants() {
    std::erase_if(next_tags_, [this](const auto& entry) { return entry.second <= started_tag_; });
}

} // namespace backends
