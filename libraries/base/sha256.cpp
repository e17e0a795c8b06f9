#include <base/sha256.hpp>

#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/sha.h>

#include <array>
#include <span>

namespace base {

namespace {

const unsigned char* bytes_of(std::string_view text) noexcept {
    return reinterpret_cast<const unsigned char*>(text.data());
}

std::string to_hexadecimal(std::span<const unsigned char> bytes) {
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    text.reserve(bytes.size() * 2);
    for (const auto byte : bytes) {
        text.push_back(digits[byte >> 4U]);
        text.push_back(digits[byte & 15U]);
    }
    return text;
}

} // namespace

std::string sha256_of(std::string_view content) {
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(bytes_of(content), content.size(), digest.data());
    return to_hexadecimal(digest);
}

std::string hmac_sha256_of(std::string_view secret, std::string_view content) {
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    unsigned int length = 0;
    HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()), bytes_of(content), content.size(),
         digest.data(), &length);
    return to_hexadecimal(digest);
}

} // namespace base
