#pragma once

#include <base/request.hpp>
#include <base/response.hpp>
#include <base/result.hpp>
#include <daemons/configuration_offer.hpp>
#include <daemons/datagram.hpp>
#include <daemons/fleet_message.hpp>
#include <daemons/refusal.hpp>
#include <daemons/suspicion_check.hpp>
#include <daemons/throttle_notice.hpp>

#include <concepts>
#include <string>
#include <string_view>

/// Encodes the messages in frames and datagrams with cereal's portable binary archive.
namespace daemons {

/// The message types that have an encoding.
template <typename Message>
concept wire_message = std::same_as<Message, base::request> || std::same_as<Message, base::response> ||
    std::same_as<Message, refusal> || std::same_as<Message, suspicion_check> ||
    std::same_as<Message, reachability> || std::same_as<Message, configuration_fetch> ||
    std::same_as<Message, configuration_offer> || std::same_as<Message, throttle_notice> ||
    std::same_as<Message, datagram> || std::same_as<Message, fleet_message>;

/// Returns the encoded message. Negative durations are encoded as zero.
template <wire_message Message>
[[nodiscard]] std::string encode_message(const Message& message);

/// Decodes a message. Lengths are checked against the remaining bytes before anything is allocated; trailing
/// bytes, unknown enum values and durations out of range are rejected. Errors: `frame_invalid`.
template <wire_message Message>
[[nodiscard]] base::result<Message> decode_message(std::string_view bytes);

} // namespace daemons
