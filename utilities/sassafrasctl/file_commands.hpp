#pragma once

#include <utilities/sassafrasctl/command_line.hpp>

namespace sassafrasctl {

/// `check`: reads files and directories and prints all problems.
[[nodiscard]] operators::exit_code check_files(const command_line& line);

/// `publish`: puts the declarations below a directory into force.
[[nodiscard]] operators::exit_code publish_folder(const command_line& line);

} // namespace sassafrasctl
