#include <daemons/watcher_choice.hpp>

#include <daemons/rendezvous.hpp>

#include <algorithm>
#include <cstdint>
#include <utility>

namespace daemons {

std::vector<member> choose_watchers(const member_list& members, std::string_view region) {
    constexpr std::string_view watch_key = "watch";
    std::vector<std::pair<std::uint64_t, const member*>> weighted;
    for (const auto& candidate : members.serving_in(region)) {
        weighted.emplace_back(rendezvous_weight(watch_key, candidate->name_), &candidate);
    }
    const auto count = std::min(weighted.size(), watchers_for_each_region);
    std::partial_sort(weighted.begin(), weighted.begin() + static_cast<std::ptrdiff_t>(count), weighted.end(),
                      [](const auto& left, const auto& right) { return left.first > right.first; });
    std::vector<member> watchers;
    for (std::size_t index = 0; index < count; ++index) {
        watchers.push_back(*weighted[index].second);
    }
    return watchers;
}

bool is_watcher(const member_list& members, std::string_view name) {
    const auto* self = members.find(name);
    if (self == nullptr) {
        return false;
    }
    const auto watchers = choose_watchers(members, (*self)->region_);
    return std::ranges::any_of(watchers, [name](const member& one) { return one->name_ == name; });
}

} // namespace daemons
