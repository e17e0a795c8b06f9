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

/// Bound on an encoded membership datagram, below the smallest usual MTU.
inline constexpr std::size_t most_datagram_bytes = 1200;

/// What a membership datagram asks or answers.
enum class datagram_kind : std::uint8_t {
    ping,
    ack,
    /// Asks the receiver to ping `subject_` on the sender's behalf.
    ping_request,
    /// Asks for the part of the member list after `after_`.
    list_request,
    /// Answers a list request with a part of the list in `updates_`.
    list_response,
};

/// One membership message.
struct datagram_fields {
    datagram_kind kind_ = datagram_kind::ping;
    /// Pairs a question with its answer.
    std::uint64_t sequence_ = 0;
    /// The sender as it knows itself.
    member sender_;
    /// Name of the pinged member: whom a ping request is about, or who answered a ping. Empty when the
    /// sender of a ping knows only an address.
    std::string subject_;
    /// Where the subject of a ping request is.
    base::endpoint subject_address_;
    /// For the list: the name before the asked or answered part; empty for the start.
    std::string after_;
    /// For a list answer: the last name of the part, empty when the list ends here.
    std::string until_;
    std::vector<member> updates_;

    friend auto operator<=>(const datagram_fields&, const datagram_fields&) = default;
    friend bool operator==(const datagram_fields&, const datagram_fields&) = default;
};

using datagram = base::immutable<datagram_fields>;

/// Returns an upper bound of the datagram's encoded size in bytes without its updates.
[[nodiscard]] std::size_t wire_bytes_without_updates(const datagram_fields& message) noexcept;

} // namespace daemons
