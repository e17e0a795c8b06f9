#pragma once

#include <operators/daemon_settings.hpp>
#include <operators/problem.hpp>

#include <string>
#include <string_view>

namespace operators {

/// Parses the daemon settings in the text of an INI file. `file` is the file name in reported problems.
[[nodiscard]] checked<daemon_settings> read_settings(std::string_view text, std::string file);

/// Reads daemon settings from a file. An unreadable file is reported as a problem.
[[nodiscard]] checked<daemon_settings> load_settings(const std::string& path);

} // namespace operators
