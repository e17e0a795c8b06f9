#include <proxy/fingerprint.hpp>

#include <openssl/sha.h>

#include <array>
#include <string_view>

namespace proxy {

namespace {

void append_part(std::string& content, std::string_view part) {
    content.append(std::to_string(part.size())).append(":").append(part);
}

} // namespace

std::string fingerprint_of(const base::request& request) {
    std::string content;
    append_part(content, request->service_);
    append_part(content, request->tenant_);
    for (const auto& statement : request->statements_) {
        append_part(content, statement);
    }
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<const unsigned char*>(content.data()), content.size(), digest.data());
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    text.reserve(digest.size() * 2);
    for (const auto byte : digest) {
        text.push_back(digits[byte >> 4U]);
        text.push_back(digits[byte & 15U]);
    }
    return text;
}

std::string recorded_key_of(const base::request& request) {
    std::string key;
    append_part(key, request->tenant_);
    key.append(*request->idempotency_key_);
    return key;
}

} // namespace proxy
