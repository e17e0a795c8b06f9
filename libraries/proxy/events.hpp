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

inline constexpr base::event_definition session_daemon_started{
    120, "session_daemon_started", severity::info, "The session proxy listens for clients and peers."};
inline constexpr base::event_definition readiness_changed{121, "readiness_changed", severity::info,
                                                          "The daemon reports itself ready, or no longer."};
inline constexpr base::event_definition settings_reloaded{122, "settings_reloaded", severity::info,
                                                          "The settings file changed and was read again."};
inline constexpr base::event_definition settings_kept{
    123, "settings_kept", severity::error, "The changed settings file has a fault; the old settings stay."};
inline constexpr base::event_definition stop_started{
    124, "stop_started", severity::info, "The daemon was told to stop and takes no new work after a while."};
inline constexpr base::event_definition stop_finished{
    125, "stop_finished", severity::info, "The daemon ends; the count of open sessions is given."};
inline constexpr base::event_definition routes_changed{126, "routes_changed", severity::info,
                                                       "A newer configuration of the operators is in force."};
inline constexpr base::event_definition service_changed{
    127, "service_changed", severity::info,
    "The databases of a service, its primary or the primary's state changed."};
inline constexpr base::event_definition statement_not_done{
    130, "statement_not_done", severity::info, "A statement was refused, failed, or its outcome is unknown."};
inline constexpr base::event_definition transaction_given_up{
    131, "transaction_given_up", severity::info,
    "A transaction was rolled back because it rested too long or the daemon stops."};
inline constexpr base::event_definition statement_done{
    132, "statement_done", severity::info, "A statement was answered by a database; what decided is given."};
inline constexpr base::event_definition lines_dropped{
    133, "lines_dropped", severity::warning,
    "Lines about statements were left out of the log in the last while; the counters have them all."};
inline constexpr base::event_definition takeover_begun{140, "takeover_begun", severity::warning,
                                                       "The holder of the duty replaces a primary."};
inline constexpr base::event_definition takeover_step{
    141, "takeover_step", severity::info, "A step of a primary's replacement ended; its result is given."};
inline constexpr base::event_definition takeover_settled{142, "takeover_settled", severity::warning,
                                                         "A service has a new primary."};
inline constexpr base::event_definition duty_changed{
    143, "duty_changed", severity::info, "This daemon holds the duty of replacing primaries, or no longer."};
inline constexpr base::event_definition evidence_changed{
    144, "evidence_changed", severity::warning,
    "Evidence that no primary is being replaced was lost or regained; without it primaries are not used."};
inline constexpr base::event_definition store_call_failed{
    145, "store_call_failed", severity::warning, "A call of the platform's store failed for the first time."};
inline constexpr base::event_definition store_call_works{146, "store_call_works", severity::info,
                                                         "A call of the platform's store works again."};
inline constexpr base::event_definition registration_changed{
    147, "registration_changed", severity::info,
    "A daemon's entry among those that may use primaries was written, marked or removed."};

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
                                &configuration_unreadable,
                                &session_daemon_started,
                                &readiness_changed,
                                &settings_reloaded,
                                &settings_kept,
                                &stop_started,
                                &stop_finished,
                                &routes_changed,
                                &service_changed,
                                &statement_not_done,
                                &transaction_given_up,
                                &statement_done,
                                &lines_dropped,
                                &takeover_begun,
                                &takeover_step,
                                &takeover_settled,
                                &duty_changed,
                                &evidence_changed,
                                &store_call_failed,
                                &store_call_works,
                                &registration_changed};

} // namespace proxy::events
