#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace sassafras_load {

/// Returns the parts of a text between separators, without spaces around them and without empty ones.
[[nodiscard]] std::vector<std::string> split_list(std::string_view text, char separator);

} // namespace sassafras_load
