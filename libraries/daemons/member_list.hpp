#pragma once

#include <daemons/member.hpp>
#include <daemons/membership.hpp>

#include <compare>
#include <cstddef>
#include <span>
#include <string_view>
#include <vector>

namespace daemons {

/// The members that one daemon knows at one time, for readers on all threads. Thread safety: immutable value.
class member_list {
public:
    member_list() = default;
    /// Takes members in any order; names are unique.
    explicit member_list(std::vector<member> members);
    /// Copies the members out of a membership state.
    explicit member_list(const membership_state& state);

    /// Returns every known member, the dead ones included: first those that serve, by region and name.
    [[nodiscard]] std::span<const member> members() const noexcept { return members_; }
    /// Returns the members to which new work may go, by region and name.
    [[nodiscard]] std::span<const member> serving() const noexcept;
    /// Returns the members of one region to which new work may go, by name.
    [[nodiscard]] std::span<const member> serving_in(std::string_view region) const noexcept;
    /// Returns the member with this name, or null.
    [[nodiscard]] const member* find(std::string_view name) const noexcept;

    friend auto operator<=>(const member_list&, const member_list&) = default;

private:
    std::vector<member> members_;
    std::size_t serving_ = 0;
};

} // namespace daemons
