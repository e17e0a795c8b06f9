#pragma once

#include <base/event.hpp>

#include <array>

/// Events of the daemon as a whole, numbered from 100. `docs/events.md` lists them.
namespace proxy::events {

using base::severity;

inline constexpr base::event_definition daemon_started{100, "daemon_started", severity::info,
                                                       "The daemon listens and joins the fleet."};
inline constexpr base::event_definition daemon_ready{101, "daemon_ready", severity::info,
                                                     "The daemon has a configuration and serves requests."};
inline constexpr base::event_definition drain_started{
    102, "drain_started", severity::info, "The daemon takes no new connections and finishes its work."};
inline constexpr base::event_definition drain_finished{103, "drain_finished", severity::info,
                                                       "The daemon has finished all its work and stops."};
inline constexpr base::event_definition drain_cut{
    104, "drain_cut", severity::warning,
    "The drain deadline or a second signal cut off the work that is named."};
inline constexpr base::event_definition home_opened{105, "home_opened", severity::info,
                                                    "This daemon serves a database group as its home."};
inline constexpr base::event_definition home_closed{
    106, "home_closed", severity::info,
    "This daemon no longer serves a database group: another one is its home."};
inline constexpr base::event_definition retry_budget_exhausted{
    108, "retry_budget_exhausted", severity::warning,
    "A retry was not made because the group's budget is spent."};
inline constexpr base::event_definition transaction_abandoned{
    109, "transaction_abandoned", severity::warning,
    "A transaction was rolled back because its caller did not continue it in time."};
inline constexpr base::event_definition home_lost{110, "home_lost", severity::warning,
                                                  "A request got no answer from the home of its group."};
inline constexpr base::event_definition start_failed{111, "start_failed", severity::error,
                                                     "The daemon cannot start; the reason names the remedy."};

inline constexpr base::event_definition configuration_unreadable{
    112, "configuration_unreadable", severity::error, "The store holds a configuration that cannot be read."};

/// Every definition above, for the test against the catalogue.
inline constexpr std::array all{&daemon_started,
                                &daemon_ready,
                                &drain_started,
                                &drain_finished,
                                &drain_cut,
                                &home_opened,
                                &home_closed,
                                &retry_budget_exhausted,
                                &transaction_abandoned,
                                &home_lost,
                                &start_failed,
                                &configuration_unreadable};

} // namespace proxy::events
