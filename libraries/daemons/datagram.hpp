#pragma once

#include <base/endpoint.hpp>
#include <base/immutable.hpp>
#include <daemons/member.hpp>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace daemons {

/// Maximum size of an encoded membership datagram, below the smallest common MTU.
inline constexpr std::size_t max_datagram_bytes = 1200;

/// The kind of a membership datagram.
enum class datagram_kind : std::uint8_t {
    ping,
    ack,
    /// Requests that the receiver ping `subject_` on the sender's behalf.
    ping_request,
    /// Requests the part of the member list after `after_`.
    list_request,
    /// Carries a part of the member list in `updates_`.
    list_response,
};

/// One membership message.
struct datagram_fields {
    datagram_kind kind_ = datagram_kind::ping;
    /// Matches a response to its request.
    std::uint64_t sequence_ = 0;
    /// The sender's own member record.
    member sender_;
    /// Name of the member that is pinged, is to be pinged, or has acknowledged a ping. Empty when the sender
    /// of a ping knows only an address.
    std::string subject_;
    /// Address of the subject of a ping request.
    base::endpoint subject_address_;
    /// In list requests and responses: the name before the part of the list; empty for the start.
    std::string after_;
    /// In a list response: the last name of the part; empty when the list ends with this part.
    std::string list_end_;
    std::vector<member> updates_;

    friend auto operator<=>(const datagram_fields&, const datagram_fields&) = default;
    friend bool operator==(const datagram_fields&, const datagram_fields&) = default;
};

using datagram = base::immutable<datagram_fields>;

/// Returns an upper bound of the datagram's encoded size in bytes without its updates.
[[nodiscard]] std::size_t wire_bytes_without_updates(const datagram_fields& message) noexcept;

} // namespace daemons
