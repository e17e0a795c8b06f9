#pragma once

#include <daemons/member.hpp>
#include <daemons/member_list.hpp>

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace proxy {

/// Remembers the homes of groups for as long as the member list stays the same, because choosing one costs a
/// hash for each member of the region on every request. Thread safety: owned by one thread.
class owner_cache {
public:
    /// Returns the home of a declared group, as `daemons::choose_owner` has it. Precondition: `members` is
    /// not null.
    [[nodiscard]] std::optional<daemons::member> find(std::shared_ptr<const daemons::member_list> members,
                                                      std::string_view region, const std::string& group);

private:
    std::shared_ptr<const daemons::member_list> members_;
    std::unordered_map<std::string, std::optional<daemons::member>> owners_;
};

} // namespace proxy
