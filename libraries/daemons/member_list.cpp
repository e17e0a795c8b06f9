#include <daemons/member_list.hpp>

#include <algorithm>
#include <iterator>
#include <tuple>

namespace daemons {

namespace {

std::vector<member> members_of(const membership_state& state) {
    std::vector<member> members;
    members.reserve(state.members_.size());
    std::transform(state.members_.begin(), state.members_.end(), std::back_inserter(members),
                   [](const auto& entry) { return entry.second.member_; });
    return members;
}

std::string_view region_of(const member& known) {
    return known->region_;
}

} // namespace

member_list::member_list(std::vector<member> members) : members_{std::move(members)} {
    std::ranges::sort(members_, {}, [](const member& known) {
        return std::tuple{!is_serving(known), std::string_view{known->region_},
                          std::string_view{known->name_}};
    });
    serving_ = static_cast<std::size_t>(std::ranges::count_if(members_, is_serving));
}

member_list::member_list(const membership_state& state) : member_list{members_of(state)} {}

std::span<const member> member_list::serving() const noexcept {
    return std::span{members_}.first(serving_);
}

std::span<const member> member_list::serving_in(std::string_view region) const noexcept {
    // Uses iterators, because clang 14 does not accept the subrange that std::ranges::equal_range returns.
    const auto all = serving();
    const auto first = std::ranges::lower_bound(all, region, {}, region_of);
    const auto last = std::ranges::upper_bound(all, region, {}, region_of);
    return {first, last};
}

const member* member_list::find(std::string_view name) const noexcept {
    const auto found =
        std::ranges::find_if(members_, [name](const member& known) { return known->name_ == name; });
    return found == members_.end() ? nullptr : &*found;
}

} // namespace daemons
