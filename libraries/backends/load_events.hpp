#pragma once

#include <base/event.hpp>

#include <array>

/// Events of the policy under load, numbered from 350 to 399. `docs/events.md` lists them.
namespace backends::load_events {

inline constexpr base::event_definition hold_back_started{
    355, "hold_back_started", base::severity::warning,
    "The home told the entry daemons to refuse requests of a rank at the edge."};
inline constexpr base::event_definition hold_back_ended{356, "hold_back_ended", base::severity::info,
                                                        "The home admits all requests of the rank again."};
inline constexpr base::event_definition connect_failed{
    360, "connect_failed", base::severity::warning,
    "A connect to a database failed; further failures in a row are not logged."};
inline constexpr base::event_definition connect_recovered{
    361, "connect_recovered", base::severity::info, "A connect to a database succeeded after failures."};
inline constexpr base::event_definition statement_waited{
    365, "statement_waited", base::severity::info,
    "A statement waited long for a connection; what each database had under way is given."};
inline constexpr base::event_definition database_condition_changed{
    366, "database_condition_changed", base::severity::info,
    "A database no longer accepts connections of this daemon, or does again."};

/// Every definition above, for the test against the catalogue.
inline constexpr std::array all{&hold_back_started, &hold_back_ended,  &connect_failed,
                                &connect_recovered, &statement_waited, &database_condition_changed};

} // namespace backends::load_events
