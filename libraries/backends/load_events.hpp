#pragma once

#include <base/event.hpp>

#include <array>

/// Events of load control and connections, numbered from 350 to 399. `docs/events.md` lists them.
namespace backends::load_events {

inline constexpr base::event_definition hold_back_started{
    355, "hold_back_started", base::severity::warning,
    "The owner of a group told the entry daemons to refuse a part of the requests of a rank."};
inline constexpr base::event_definition hold_back_ended{
    356, "hold_back_ended", base::severity::info,
    "The owner of a group admits all requests of the rank again."};
inline constexpr base::event_definition connect_failed{
    360, "connect_failed", base::severity::warning,
    "A connection attempt to a database failed; further consecutive failures are not logged."};
inline constexpr base::event_definition connect_recovered{
    361, "connect_recovered", base::severity::info,
    "A connection attempt to a database succeeded after failures."};
inline constexpr base::event_definition statement_waited{
    365, "statement_waited", base::severity::info,
    "A statement waited long for a connection; the field `databases` lists the statements and connections in "
    "use at each database and this daemon's estimate of its cost."};
inline constexpr base::event_definition database_condition_changed{
    366, "database_condition_changed", base::severity::info,
    "A database stopped accepting connections from this daemon, or accepts them again."};
inline constexpr base::event_definition statement_prepared{
    367, "statement_prepared", base::severity::info,
    "A statement was sent to be prepared on a database connection; its name at the database is given."};

/// All definitions above, for the test that compares them with the catalogue.
inline constexpr std::array all{&hold_back_started, &hold_back_ended,  &connect_failed,
                                &connect_recovered, &statement_waited, &database_condition_changed,
                                &statement_prepared};

} // namespace backends::load_events
