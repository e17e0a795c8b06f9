#pragma once

#include <base/event.hpp>

#include <array>

/// Events of the front end for callers, numbered from 200. `docs/events.md` lists them.
namespace callers::events {

using base::severity;

inline constexpr base::event_definition request_refused{200, "request_refused", severity::debug,
                                                        "A request could not be read and was refused."};
inline constexpr base::event_definition token_refused{
    201, "token_refused", severity::warning, "A session token was forged, damaged or of another service."};
inline constexpr base::event_definition outcome_unknown{
    202, "outcome_unknown", severity::warning, "A caller was told that the outcome of a request is unknown."};

/// Every definition above, for the test against the catalogue.
inline constexpr std::array all{&request_refused, &token_refused, &outcome_unknown};

} // namespace callers::events
