#pragma once

#include <daemons/member.hpp>
#include <daemons/member_list.hpp>

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace proxy {

/// Caches the owners of groups until the member list changes, because choosing an owner computes one hash for
/// each member of the region. Thread safety: used by one thread only.
class owner_cache {
public:
    /// Returns the owner of a group, the same as `daemons::choose_owner`. Precondition: `members` is not
    /// null.
    [[nodiscard]] std::optional<daemons::member> find(std::shared_ptr<const daemons::member_list> members,
                                                      std::string_view region, const std::string& group);

private:
    std::shared_ptr<const daemons::member_list> members_;
    std::unordered_map<std::string, std::optional<daemons::member>> owners_;
};

} // namespace proxy
