#pragma once

#include <operators/daemon_settings.hpp>
#include <operators/problem.hpp>

#include <string>
#include <string_view>

namespace operators {

/// Reads a daemon's settings from the text of an INI file. `file` stands for it in problems.
[[nodiscard]] checked<daemon_settings> read_settings(std::string_view text, std::string file);

/// Reads a daemon's settings from a file; an unreadable file is a problem too.
[[nodiscard]] checked<daemon_settings> load_settings(const std::string& path);

} // namespace operators
