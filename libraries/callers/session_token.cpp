#include <callers/session_token.hpp>

#include <base/sha256.hpp>

#include <openssl/crypto.h>

#include <charconv>
#include <cstdint>
#include <optional>

namespace callers {

namespace {

constexpr std::string_view version_prefix = "v1.";
constexpr std::size_t max_token_bytes = 512;

base::error invalid_token() {
    return base::error{base::error_kind::token_invalid, "the session token was not issued by this system"};
}

std::optional<std::uint64_t> consume_number(std::string_view& text) {
    std::uint64_t number = 0;
    const auto [end, status] = std::from_chars(text.data(), text.data() + text.size(), number);
    const auto length = static_cast<std::size_t>(end - text.data());
    if (status != std::errc{} || length >= text.size() || text[length] != '.') {
        return std::nullopt;
    }
    text.remove_prefix(length + 1);
    return number;
}

} // namespace

std::string token_signer::encode(const session_token& token) const {
    std::string text{version_prefix};
    text += std::to_string(token.position().term());
    text += '.';
    text += std::to_string(token.position().index());
    text += '.';
    text += token.group();
    const auto signature = signature_of(text);
    text += '.';
    text += signature;
    return text;
}

base::result<session_token> token_signer::decode(std::string_view text) const {
    const auto last_dot = text.rfind('.');
    if (text.size() > max_token_bytes || last_dot == std::string_view::npos) {
        return invalid_token();
    }
    const auto content = text.substr(0, last_dot);
    const auto expected = signature_of(content);
    const auto given = text.substr(last_dot + 1);
    // The comparison takes constant time, so that its duration reveals nothing about the expected signature.
    if (given.size() != expected.size() ||
        CRYPTO_memcmp(given.data(), expected.data(), expected.size()) != 0) {
        return invalid_token();
    }
    if (!content.starts_with(version_prefix)) {
        return invalid_token();
    }
    auto rest = content.substr(version_prefix.size());
    const auto term = consume_number(rest);
    const auto index = term ? consume_number(rest) : std::nullopt;
    if (!index) {
        return invalid_token();
    }
    return session_token{std::string{rest}, base::log_position{*term, *index}};
}

std::string token_signer::signature_of(std::string_view content) const {
    return base::hmac_sha256_of(secret_, content);
}

} // namespace callers
