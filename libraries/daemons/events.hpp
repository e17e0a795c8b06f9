#pragma once

#include <base/event.hpp>

#include <array>

/// Events of this package, numbered from 600.
namespace daemons::events {

inline constexpr base::event_definition package_loaded{600, "package_loaded", base::severity::debug,
                                                       "The package was set up."};

/// Every definition above, for the test against docs/events.md.
inline constexpr std::array all{&package_loaded};

} // namespace daemons::events
