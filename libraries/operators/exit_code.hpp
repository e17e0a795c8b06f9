#pragma once

#include <base/error_kind.hpp>

#include <cstdint>
#include <string_view>

namespace operators {

/// What the command-line tool returns to its shell.
enum class exit_code : std::uint8_t {
    success = 0,
    usage = 1,
    invalid_file = 2,
    conflict = 3,
    store_unavailable = 4,
    unresolved = 5,
    daemon_unreachable = 6,
    refused = 7,
    internal = 8,
};

/// Returns the exit code for an error of this kind.
[[nodiscard]] exit_code exit_code_for(base::error_kind kind) noexcept;

/// Returns one line for each exit code, for the tool's help and its page.
[[nodiscard]] std::string_view exit_code_help() noexcept;

} // namespace operators
