#pragma once

#include <daemons/member.hpp>
#include <daemons/member_list.hpp>

#include <compare>
#include <optional>
#include <string_view>

namespace daemons {

/// The owner of a database group, and the standby that becomes its owner when the first one fails.
struct owner_choice {
    member owner_;
    /// In another failure domain than the owner if the region has one; empty when no second member serves.
    std::optional<member> standby_;

    friend auto operator<=>(const owner_choice&, const owner_choice&) = default;
};

/// Chooses the owner of `group` among the serving members of `region` by rendezvous hashing, or among those
/// of all regions when the region has none. Daemons with equal lists make the same choice, and the loss of a
/// member changes the choice only for the groups that had it as owner or standby. Returns nothing when no
/// member serves.
///
/// Complexity: linear, with one hash for each candidate and pass; callers keep the result until the member
/// list changes.
[[nodiscard]] std::optional<owner_choice> choose_owner(const member_list& members, std::string_view region,
                                                       std::string_view group);

} // namespace daemons
