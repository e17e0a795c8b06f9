#pragma once

#include <daemons/member.hpp>
#include <daemons/member_list.hpp>

#include <cstddef>
#include <string_view>
#include <vector>

namespace daemons {

/// Members of a region that watch the platform's store. Two, so that one may fail unnoticed while the load
/// on the store stays independent of the number of daemons.
inline constexpr std::size_t watchers_for_each_region = 2;

/// Returns the first members of the region by rendezvous hashing; fewer when the region has fewer.
[[nodiscard]] std::vector<member> choose_watchers(const member_list& members, std::string_view region);

/// Returns whether the member with this name watches the store for its region.
[[nodiscard]] bool is_watcher(const member_list& members, std::string_view name);

} // namespace daemons
