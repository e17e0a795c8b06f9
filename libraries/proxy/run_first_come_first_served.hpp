#pragma once

#include <base/result.hpp>
#include <operators/daemon_settings.hpp>
#include <proxy/control_plane.hpp>

#include <memory>
#include <string>

namespace proxy {

/// Runs a daemon with `backends::first_come_first_served_queue`. Returns whether all work was finished at its
/// end. Errors: `settings_invalid` when it cannot listen.
[[nodiscard]] base::result<bool> run_first_come_first_served(const operators::daemon_settings& settings,
                                                             std::string run,
                                                             std::unique_ptr<control_plane> control);

} // namespace proxy
