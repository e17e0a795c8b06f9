#pragma once

#include <base/result.hpp>
#include <daemons/frame.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/// Encoding of frames: length u32, version u8, type u8, id u64, all big endian, then the body. The length
/// counts everything after itself.
namespace daemons {

inline constexpr std::size_t frame_header_bytes = 14;
/// Maximum size of a whole frame; a longer one closes the connection.
inline constexpr std::size_t max_frame_bytes = std::size_t{4} * 1024 * 1024;
inline constexpr std::size_t max_body_bytes = max_frame_bytes - frame_header_bytes;
inline constexpr std::uint8_t frame_version = 1;

/// Returns the bytes of a frame. Precondition: its body has at most `max_body_bytes`.
[[nodiscard]] std::string encode_frame(const frame& message);

/// Splits a stream of bytes into frames. After an error the next frame boundary is unknown, so every later
/// call returns the same error. Thread safety: used by one thread.
class frame_decoder {
public:
    /// Appends received bytes.
    void append(std::string_view bytes);

    /// Returns the next complete frame, or nothing until more bytes arrive. Errors: `frame_invalid`.
    [[nodiscard]] base::result<std::optional<frame>> next();

private:
    base::error fail(const std::string& reason);

    std::string buffer_;
    std::size_t consumed_ = 0;
    std::optional<base::error> failure_;
};

} // namespace daemons
