#pragma once

#include <base/endpoint.hpp>
#include <base/immutable.hpp>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace daemons {

/// The state of a member. At the same incarnation a later enumerator overrides an earlier one.
enum class member_state : std::uint8_t { live, suspect, leaving, dead };

/// Returns `live`, `suspect`, `leaving` or `dead`.
[[nodiscard]] std::string_view name_of(member_state state) noexcept;

/// Maximum size in bytes of a member's name, region and failure domain each, so that a datagram holds several
/// members.
inline constexpr std::size_t max_member_text_bytes = 64;

/// A daemon's record in the member list of another daemon.
struct member_fields {
    std::string name_;
    /// Where it receives frames (TCP) and membership datagrams (UDP).
    base::endpoint address_;
    std::string region_;
    std::string failure_domain_;
    /// Incremented only by the member itself, to refute a suspicion or a report of its death.
    std::uint64_t incarnation_ = 0;
    member_state state_ = member_state::live;
    std::uint64_t configuration_revision_ = 0;

    friend auto operator<=>(const member_fields&, const member_fields&) = default;
    friend bool operator==(const member_fields&, const member_fields&) = default;
};

using member = base::immutable<member_fields>;

/// Returns whether `update` overrides `known`: it has a higher incarnation, or a later state of the same one.
[[nodiscard]] bool overrides(const member& update, const member& known) noexcept;

/// Returns whether the member may receive new work: it is live, or suspect but not yet declared dead.
[[nodiscard]] bool is_serving(const member& known) noexcept;

/// Returns an upper bound of the member's encoded size in bytes.
[[nodiscard]] std::size_t wire_bytes(const member& known) noexcept;

} // namespace daemons
