#pragma once

#include <base/event.hpp>

#include <array>

/// Events of the policy under load, numbered from 350 to 399. `docs/events.md` lists them.
namespace backends::load_events {

inline constexpr base::event_definition queue_refusing{
    350, "queue_refusing", base::severity::warning,
    "The queue of a database group began to refuse requests of a rank."};
inline constexpr base::event_definition queue_recovered{
    351, "queue_recovered", base::severity::info,
    "The queue of a database group accepts requests of the rank again."};
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
inline constexpr base::event_definition circuit_opened{
    370, "circuit_opened", base::severity::warning,
    "A database failed several times in a row and gets only trial requests."};
inline constexpr base::event_definition circuit_closed{
    371, "circuit_closed", base::severity::info,
    "A trial request succeeded and the database gets requests again."};
inline constexpr base::event_definition retry_budget_spent{
    375, "retry_budget_spent", base::severity::warning,
    "Retries of a database group reached their ratio and are refused for now."};
inline constexpr base::event_definition replicas_unusable{
    380, "replicas_unusable", base::severity::warning,
    "No replica of a database group is fresh enough, so its reads go to the primary."};

/// Every definition above, for the test against the catalogue.
inline constexpr std::array all{&queue_refusing,     &queue_recovered,   &hold_back_started, &hold_back_ended,
                                &connect_failed,     &connect_recovered, &circuit_opened,    &circuit_closed,
                                &retry_budget_spent, &replicas_unusable};

} // namespace backends::load_events
