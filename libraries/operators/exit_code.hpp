#pragma once

#include <base/error_kind.hpp>

#include <cstdint>
#include <string_view>

namespace operators {

/// The exit codes of the command-line tool.
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

/// Returns a description of each exit code, one per line, for the tool's help. `docs/operators.md` quotes it.
[[nodiscard]] std::string_view exit_code_help() noexcept;

} // namespace operators
