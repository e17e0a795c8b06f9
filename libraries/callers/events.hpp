#pragma once

#include <base/event.hpp>

#include <array>

/// Log events of the caller front end. Codes 200 to 299; `docs/events.md` documents each one.
namespace callers::events {

using base::severity;

inline constexpr base::event_definition request_refused{
    200, "request_refused", severity::debug, "A request was rejected because it could not be decoded."};
inline constexpr base::event_definition token_refused{
    201, "token_refused", severity::warning,
    "A request was rejected because its session token is invalid or was issued for another service."};
inline constexpr base::event_definition outcome_unknown{
    202, "outcome_unknown", severity::warning, "A caller received a response with an unknown outcome."};

/// All definitions above; a test compares them with `docs/events.md`.
inline constexpr std::array all{&request_refused, &token_refused, &outcome_unknown};

} // namespace callers::events
