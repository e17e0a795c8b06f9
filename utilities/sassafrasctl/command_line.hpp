#pragma once

#include <base/clock.hpp>
#include <operators/exit_code.hpp>

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace sassafrasctl {

/// How answers of a daemon are printed.
enum class output_form : std::uint8_t { text, json };

/// The command and the flags of one call. Thread safety: plain value.
struct command_line {
    std::string command_;
    std::vector<std::string> arguments_;
    std::string daemon_;
    std::string platform_;
    std::string publisher_;
    std::optional<std::uint64_t> based_on_;
    output_form output_ = output_form::text;
    base::clock::duration timeout_{5'000};

    friend auto operator<=>(const command_line&, const command_line&) = default;
};

/// Runs a command; what it has to say goes to standard output, errors to standard error.
[[nodiscard]] operators::exit_code run_command(const command_line& line);

/// Returns the text of `--help`.
[[nodiscard]] std::string help_text();

} // namespace sassafrasctl
