#include <stand_ins/platform/key_value_store.hpp>

#include <algorithm>

namespace stand_ins::platform {

stored_item key_value_store::get(const std::string& key) const {
    const auto found = items_.find(key);
    return found == items_.end() ? stored_item{}
                                 : stored_item{true, found->second.value_, found->second.revision_};
}

swap_result key_value_store::put_if(const std::string& key, std::string value, std::uint64_t expected,
                                    std::optional<std::uint64_t> lease) {
    const auto found = items_.find(key);
    const auto present = found == items_.end() ? 0 : found->second.revision_;
    if (present != expected || (lease && !leases_.contains(*lease))) {
        return {false, present};
    }
    items_[key] = item{std::move(value), ++last_revision_, lease};
    return {true, last_revision_};
}

std::uint64_t key_value_store::grant_lease(base::clock::duration length, base::clock::time_point now) {
    leases_[++last_lease_] = {length, now + length};
    return last_lease_;
}

bool key_value_store::renew_lease(std::uint64_t lease, base::clock::time_point now) {
    const auto found = leases_.find(lease);
    if (found == leases_.end() || found->second.end_ <= now) {
        return false;
    }
    found->second.end_ = now + found->second.length_;
    return true;
}

bool key_value_store::expire_leases(base::clock::time_point now) {
    return end_leases([now](const held_lease& lease) { return lease.end_ <= now; });
}

bool key_value_store::expire_all_leases() {
    return end_leases([](const held_lease&) { return true; });
}

std::optional<base::clock::time_point> key_value_store::next_expiry() const {
    const auto first =
        std::min_element(leases_.begin(), leases_.end(), [](const auto& one, const auto& other) {
            return one.second.end_ < other.second.end_;
        });
    return first == leases_.end() ? std::nullopt : std::optional{first->second.end_};
}

template <typename Predicate>
bool key_value_store::end_leases(Predicate is_over) {
    std::erase_if(leases_, [&](const auto& lease) { return is_over(lease.second); });
    const auto removed = std::erase_if(items_, [this](const auto& entry) {
        return entry.second.lease_ && !leases_.contains(*entry.second.lease_);
    });
    return removed > 0;
}

bool has_changed(const stored_item& present, std::uint64_t revision) noexcept {
    return present.revision_ != revision;
}

} // namespace stand_ins::platform
