#pragma once

#include <base/error_kind.hpp>

#include <compare>
#include <string>
#include <string_view>
#include <utility>

namespace base {

/// A typed error: its kind and a message; the kind determines the remedy. Thread safety: immutable value.
class error {
public:
    error(error_kind kind, std::string message) : kind_{kind}, message_{std::move(message)} {}

    [[nodiscard]] error_kind kind() const noexcept { return kind_; }
    /// Describes this occurrence, with the names and numbers involved.
    [[nodiscard]] const std::string& message() const noexcept { return message_; }
    /// Returns what the reader can do about the error.
    [[nodiscard]] std::string_view remedy() const noexcept { return remedy_for(kind_); }
    /// Returns `kind: message; remedy`, for logs and the command line.
    [[nodiscard]] std::string to_string() const;

    friend auto operator<=>(const error&, const error&) = default;

private:
    error_kind kind_;
    std::string message_;
};

} // namespace base
