#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

namespace daemons {

/// What a frame between two daemons carries.
enum class frame_type : std::uint8_t {
    heartbeat = 1,
    request,
    response,
    suspicion_check,
    suspicion_verdict,
    configuration_fetch,
    configuration_offer,
    /// The home asks an entry daemon to refuse work at the edge for a while.
    throttle,
    /// A question that was refused without being acted on; the body is an error.
    failure,
    /// The server drains: no new questions on this connection.
    goodbye,
};

inline constexpr auto last_frame_type = frame_type::goodbye;

/// One message between two daemons. The id pairs a question with its answer; 0 where nothing is paired.
/// Thread safety: immutable value.
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
