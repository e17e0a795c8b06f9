#pragma once

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace operators {

/// A keyed hash of a client's API key (HMAC-SHA256 with a random secret of this process), so that neither the
/// configuration in memory nor a comparison of digests discloses a key. Digests of different processes cannot
/// be compared. Thread safety: immutable value; `of` on any thread.
class key_digest {
public:
    key_digest() = default;

    [[nodiscard]] static key_digest of(std::string_view api_key);

    friend auto operator<=>(const key_digest&, const key_digest&) = default;

private:
    static constexpr std::size_t digest_bytes = 32;

    std::array<std::uint8_t, digest_bytes> bytes_{};
};

} // namespace operators
