#pragma once

#include <daemons/member.hpp>
#include <daemons/member_list.hpp>

#include <compare>
#include <optional>
#include <string_view>

namespace daemons {

/// Who serves a database group, and who takes over when that daemon goes.
struct owner_choice {
    member owner_;
    /// In another failure domain than the home, where the region has one; empty when no second member serves.
    std::optional<member> standby_;

    friend auto operator<=>(const owner_choice&, const owner_choice&) = default;
};

/// Chooses the home of `group` among the serving members of `region` by rendezvous hashing; among those of
/// all regions when the region has none. Daemons with the same list choose the same, and the loss of a member
/// moves only the groups that had it as home or standby. Empty when no member serves.
/// Costs one hash for each member of the region; callers keep the result for as long as their list.
[[nodiscard]] std::optional<owner_choice> choose_owner(const member_list& members, std::string_view region,
                                                       std::string_view group);

} // namespace daemons
