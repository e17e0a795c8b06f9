#pragma once

#include <base/event.hpp>

#include <array>

/// Events of this package, numbered from 500.
namespace operators::events {

inline constexpr base::event_definition package_loaded{500, "package_loaded", base::severity::debug,
                                                       "The package was set up."};

/// Every definition above, for the test against docs/events.md.
inline constexpr std::array all{&package_loaded};

} // namespace operators::events
