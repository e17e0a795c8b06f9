#pragma once

#include <base/result.hpp>
#include <operators/daemon_settings.hpp>
#include <proxy/control_plane.hpp>

#include <memory>
#include <string>

namespace proxy {

/// Runs a daemon with `backends::first_come_first_served_queue`. Returns whether the drain finished all work.
/// Errors: `settings_invalid` if it cannot listen.
[[nodiscard]] base::result<bool> run_first_come_first_served(const operators::daemon_settings& settings,
                                                             std::string run_id,
                                                             std::unique_ptr<control_plane> control);

} // namespace proxy
