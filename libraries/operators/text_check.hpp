#pragma once

#include <operators/problem.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace operators {

/// Returns whether `text` is well-formed UTF-8.
[[nodiscard]] bool is_utf8(std::string_view text) noexcept;

/// Returns whether `text` contains a control character, including tabs and line breaks.
[[nodiscard]] bool has_control_character(std::string_view text) noexcept;

/// Returns the faults that the INI parser does not report: lines that are neither a section, a key with a
/// value nor a comment, duplicate sections, invalid UTF-8 and control characters.
[[nodiscard]] std::vector<problem> find_text_problems(std::string_view text, const std::string& file);

} // namespace operators
