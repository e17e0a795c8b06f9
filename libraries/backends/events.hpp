#pragma once

#include <base/event.hpp>

#include <array>

/// Log events of the database group protocol, numbered from 300 to 349.
namespace backends::events {

using base::event_definition;
using base::severity;

inline constexpr event_definition group_watch_started{300, "group_watch_started", severity::info,
                                                      "This daemon started monitoring a database group."};
inline constexpr event_definition group_watch_stopped{301, "group_watch_stopped", severity::info,
                                                      "This daemon stopped monitoring a database group."};
inline constexpr event_definition primary_adopted{302, "primary_adopted", severity::info,
                                                  "This daemon learned the primary of a new term."};
inline constexpr event_definition takeover_started{
    303, "takeover_started", severity::warning,
    "This daemon started a takeover to raise a new term for a database group."};
inline constexpr event_definition takeover_won{304, "takeover_won", severity::warning,
                                               "A takeover by this daemon promoted a database."};
inline constexpr event_definition takeover_failed{
    305, "takeover_failed", severity::warning,
    "A takeover reached no majority before its timeout, or another daemon won."};
inline constexpr event_definition takeover_withheld{
    306, "takeover_withheld", severity::warning,
    "The primary does not respond, but neither does a majority, so this daemon starts no takeover."};
inline constexpr event_definition database_unreachable{307, "database_unreachable", severity::warning,
                                                       "A database did not respond on a fresh connection."};
inline constexpr event_definition database_reachable{308, "database_reachable", severity::info,
                                                     "A database responds again."};
inline constexpr event_definition suspicion_checked{
    309, "suspicion_checked", severity::info,
    "A daemon in another failure domain was asked whether it reaches a primary."};
inline constexpr event_definition database_leaving{310, "database_leaving", severity::info,
                                                   "A database reports that it is leaving."};
inline constexpr event_definition database_mismatch{
    311, "database_mismatch", severity::error,
    "The database at a declared address reports a different name and is not counted."};

inline constexpr event_definition flow_lost{312, "flow_lost", severity::warning,
                                            "A connection to a database stopped responding while a fresh one "
                                            "works; older connections are abandoned."};

/// All events of this file, for the test that compares them with docs/events.md.
inline constexpr std::array all{&group_watch_started,
                                &group_watch_stopped,
                                &primary_adopted,
                                &takeover_started,
                                &takeover_won,
                                &takeover_failed,
                                &takeover_withheld,
                                &database_unreachable,
                                &database_reachable,
                                &suspicion_checked,
                                &database_leaving,
                                &database_mismatch,
                                &flow_lost};

} // namespace backends::events
