#pragma once

#include <daemons/member.hpp>
#include <daemons/membership.hpp>

#include <compare>
#include <cstddef>
#include <span>
#include <string_view>
#include <vector>

namespace daemons {

/// A snapshot of the members that one daemon knows, for readers on all threads. Thread safety: immutable
/// value.
class member_list {
public:
    member_list() = default;
    /// Sorts `members`, which may be in any order. Precondition: names are unique.
    explicit member_list(std::vector<member> members);
    /// Copies the members of a membership state.
    explicit member_list(const membership_state& state);

    /// Returns every known member, including dead ones: serving members first, each part by region and name.
    [[nodiscard]] std::span<const member> members() const noexcept { return members_; }
    /// Returns the members that may receive new work, by region and name.
    [[nodiscard]] std::span<const member> serving() const noexcept;
    /// Returns the members of one region that may receive new work, by name.
    [[nodiscard]] std::span<const member> serving_in(std::string_view region) const noexcept;
    /// Returns the member with this name, or null.
    [[nodiscard]] const member* find(std::string_view name) const noexcept;

    friend auto operator<=>(const member_list&, const member_list&) = default;

private:
    std::vector<member> members_;
    std::size_t serving_ = 0;
};

} // namespace daemons
