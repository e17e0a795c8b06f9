#pragma once

#include <base/event.hpp>

#include <array>

/// Events of this package, numbered from 100.
namespace proxy::events {

inline constexpr base::event_definition package_loaded{100, "package_loaded", base::severity::debug,
                                                       "The package was set up."};

/// Every definition above, for the test against docs/events.md.
inline constexpr std::array all{&package_loaded};

} // namespace proxy::events
