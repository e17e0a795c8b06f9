#pragma once

#include <base/endpoint.hpp>
#include <base/immutable.hpp>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace daemons {

/// What is known of a member. At the same incarnation a later value overrides an earlier one.
enum class member_state : std::uint8_t { live, suspect, leaving, dead };

/// Returns `live`, `suspect`, `leaving` or `dead`.
[[nodiscard]] std::string_view name_of(member_state state) noexcept;

/// Bound on the name, region and failure domain of a member in bytes, so that a datagram holds several.
inline constexpr std::size_t most_member_text_bytes = 64;

/// One daemon of the fleet, as another one knows it.
struct member_fields {
    std::string name_;
    /// Where it takes frames (TCP) and membership datagrams (UDP).
    base::endpoint address_;
    std::string region_;
    std::string failure_domain_;
    /// Raised only by the member itself, to refute what others say of it.
    std::uint64_t incarnation_ = 0;
    member_state state_ = member_state::live;
    std::uint64_t configuration_revision_ = 0;

    friend auto operator<=>(const member_fields&, const member_fields&) = default;
    friend bool operator==(const member_fields&, const member_fields&) = default;
};

using member = base::immutable<member_fields>;

/// Returns whether `news` overrides `known`: a higher incarnation, or a later state of the same one.
[[nodiscard]] bool overrides(const member& news, const member& known) noexcept;

/// Returns whether new work may go to the member: it is live, or suspect and not yet given up.
[[nodiscard]] bool is_serving(const member& known) noexcept;

/// Returns an upper bound of the member's encoded size in bytes.
[[nodiscard]] std::size_t wire_bytes(const member& known) noexcept;

} // namespace daemons
