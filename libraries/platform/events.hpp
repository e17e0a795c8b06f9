#pragma once

#include <base/event.hpp>

#include <array>

/// Events of this package, numbered from 400.
namespace platform::events {

inline constexpr base::event_definition package_loaded{400, "package_loaded", base::severity::debug,
                                                       "The package was set up."};

/// Every definition above, for the test against docs/events.md.
inline constexpr std::array all{&package_loaded};

} // namespace platform::events
