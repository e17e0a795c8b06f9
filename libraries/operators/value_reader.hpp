#pragma once

#include <operators/file_format.hpp>
#include <operators/keyed_file.hpp>

#include <string_view>

namespace operators {

/// Reads the text of one value as its description says.
/// Errors: `settings_invalid`, whose message says what is wrong without naming file or key.
[[nodiscard]] base::result<key_value> read_value(const key_description& description, std::string_view text);

/// Returns the values that a key takes, for example `1 to 256`; empty where the type says it all.
[[nodiscard]] std::string range_of(const key_description& description);

/// The names of the log levels, from the most to the least talkative.
[[nodiscard]] std::string log_level_names();

} // namespace operators
