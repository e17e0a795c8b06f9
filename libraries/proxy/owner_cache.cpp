#include <proxy/owner_cache.hpp>

#include <daemons/owner_choice.hpp>

#include <utility>

namespace proxy {

std::optional<daemons::member> owner_cache::find(std::shared_ptr<const daemons::member_list> members,
                                                 std::string_view region, const std::string& group) {
    if (members != members_) {
        members_ = std::move(members);
        owners_.clear();
    }
    const auto known = owners_.find(group);
    if (known != owners_.end()) {
        return known->second;
    }
    const auto choice = daemons::choose_owner(*members_, region, group);
    auto owner = choice ? std::optional{choice->owner_} : std::nullopt;
    owners_.emplace(group, owner);
    return owner;
}

} // namespace proxy
