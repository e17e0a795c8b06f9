#pragma once

#include <operators/problem.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace operators {

/// Returns whether `text` is well-formed UTF-8.
[[nodiscard]] bool is_utf8(std::string_view text) noexcept;

/// Returns whether `text` holds a control character, tabs and line breaks included.
[[nodiscard]] bool has_control_character(std::string_view text) noexcept;

/// Finds what the INI reader would skip or merge without a word: lines that are neither a section, a key with
/// a value nor a comment, sections that stand twice, invalid UTF-8 and control characters.
[[nodiscard]] std::vector<problem> find_text_problems(std::string_view text, const std::string& file);

} // namespace operators
