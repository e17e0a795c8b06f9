#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

namespace daemons {

/// The type of a frame between two daemons.
enum class frame_type : std::uint8_t {
    heartbeat = 1,
    request,
    response,
    suspicion_check,
    suspicion_verdict,
    configuration_fetch,
    configuration_offer,
    /// The owner of a group asks an entry daemon to refuse part of a rank's requests for a limited time.
    throttle,
    /// Refuses a request that was not run; the body is an error.
    failure,
    /// The server drains: it accepts no new requests on this connection.
    goodbye,
};

inline constexpr auto last_frame_type = frame_type::goodbye;

/// One message between two daemons. The id matches a response to its request; 0 for frames without a
/// response. Thread safety: immutable value.
class frame {
public:
    frame(frame_type type, std::uint64_t id, std::string body)
        : type_{type}, id_{id}, body_{std::move(body)} {}

    [[nodiscard]] frame_type type() const noexcept { return type_; }
    [[nodiscard]] std::uint64_t id() const noexcept { return id_; }
    [[nodiscard]] const std::string& body() const noexcept { return body_; }

    friend auto operator<=>(const frame&, const frame&) = default;

private:
    frame_type type_;
    std::uint64_t id_;
    std::string body_;
};

} // namespace daemons
