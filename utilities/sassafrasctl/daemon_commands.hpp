#pragma once

#include <utilities/sassafrasctl/command_line.hpp>

namespace sassafrasctl {

/// `status`: asks a daemon for `GET /status`.
[[nodiscard]] operators::exit_code show_status(const command_line& line);

/// `stats`: asks a daemon for `GET /stats`.
[[nodiscard]] operators::exit_code show_statistics(const command_line& line);

/// `explain`: asks a daemon how it would handle a request, by `POST /explain`.
[[nodiscard]] operators::exit_code explain_request(const command_line& line);

/// `drain`: makes a daemon finish its requests and exit, by `POST /drain`.
[[nodiscard]] operators::exit_code drain_daemon(const command_line& line);

} // namespace sassafrasctl
