#pragma once

#include <utilities/sassafrasctl/command_line.hpp>

namespace sassafrasctl {

/// `trace ID LOG...`: explains a request from the logs of session daemons.
[[nodiscard]] operators::exit_code trace_logged_request(const command_line& line);

} // namespace sassafrasctl
