#pragma once

#include <base/log_position.hpp>
#include <base/result.hpp>

#include <compare>
#include <string>
#include <string_view>
#include <utility>

namespace callers {

/// The latest log position that a session has written or read in one database group, for read-your-writes.
/// Thread safety: immutable value.
class session_token {
public:
    session_token(std::string group, base::log_position position)
        : group_{std::move(group)}, position_{position} {}

    [[nodiscard]] const std::string& group() const noexcept { return group_; }
    [[nodiscard]] base::log_position position() const noexcept { return position_; }

    friend auto operator<=>(const session_token&, const session_token&) = default;

private:
    std::string group_;
    base::log_position position_;
};

/// Signs and verifies session tokens with the secret that all daemons share (HMAC-SHA256, RFC 2104).
/// Thread safety: const member functions may be called from any thread.
class token_signer {
public:
    /// Precondition: `secret` has at least 16 characters, which the validation of the settings ensures.
    explicit token_signer(std::string secret) : secret_{std::move(secret)} {}

    /// Returns the token in the form `v1.TERM.INDEX.GROUP.SIGNATURE`. The text is printable and contains no
    /// cookie separators.
    [[nodiscard]] std::string encode(const session_token& token) const;

    /// Verifies and decodes a token from a caller. Errors: `token_invalid` if the text was not signed with
    /// the shared secret.
    [[nodiscard]] base::result<session_token> decode(std::string_view text) const;

private:
    [[nodiscard]] std::string signature_of(std::string_view content) const;

    std::string secret_;
};

} // namespace callers
