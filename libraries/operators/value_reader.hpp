#pragma once

#include <operators/file_format.hpp>
#include <operators/keyed_file.hpp>

#include <string_view>

namespace operators {

/// Parses and validates the text of one value against its description.
/// Errors: `settings_invalid`; the message does not contain the file or the key.
[[nodiscard]] base::result<key_value> read_value(const key_description& description, std::string_view text);

/// Returns the valid range of a key, for example `1 to 256`; empty if its type needs no bounds.
[[nodiscard]] std::string range_of(const key_description& description);

/// Returns the names of the log levels, from the most to the least verbose.
[[nodiscard]] std::string log_level_names();

} // namespace operators
