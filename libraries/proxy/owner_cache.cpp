#include <proxy/owner_cache.hpp>

#include <daemons/owner_choice.hpp>

#include <utility>

namespace proxy {

std::optional<daemons::member> owner_cache::find(std::shared_ptr<const daemons::member_list> members,
                                                 std::string_view region, const std::string& group) {
    if (members != members_) {
        members_ = std::move(members);
        homes_.clear();
    }
    const auto known = homes_.find(group);
    if (known != homes_.end()) {
        return known->second;
    }
    const auto choice = daemons::choose_owner(*members_, region, group);
    auto home = choice ? std::optional{choice->home_} : std::nullopt;
    homes_.emplace(group, home);
    return home;
}

} // namespace proxy
