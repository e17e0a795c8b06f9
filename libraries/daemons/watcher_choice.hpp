#pragma once

#include <daemons/member.hpp>
#include <daemons/member_list.hpp>

#include <cstddef>
#include <string_view>
#include <vector>

namespace daemons {

/// Number of members of a region that watch the platform's store. With two, watching continues when one
/// fails, and the load on the store stays independent of the number of daemons.
inline constexpr std::size_t watchers_for_each_region = 2;

/// Returns the region's watchers, chosen by rendezvous hashing; fewer when the region has fewer serving
/// members.
[[nodiscard]] std::vector<member> choose_watchers(const member_list& members, std::string_view region);

/// Returns whether the member with this name watches the store for its region.
[[nodiscard]] bool is_watcher(const member_list& members, std::string_view name);

} // namespace daemons
