#pragma once

#include <base/event.hpp>

#include <array>

/// Events of this package, numbered from 600.
namespace daemons::events {

inline constexpr base::event_definition member_joined{600, "member_joined", base::severity::info,
                                                      "A member was discovered."};
inline constexpr base::event_definition member_suspected{
    601, "member_suspected", base::severity::info,
    "A member did not acknowledge a probe and may refute the suspicion."};
inline constexpr base::event_definition member_returned{
    602, "member_returned", base::severity::info, "A member refuted a suspicion or its death, or restarted."};
inline constexpr base::event_definition member_leaving{603, "member_leaving", base::severity::info,
                                                       "A member drains and accepts no new work."};
inline constexpr base::event_definition member_dead{604, "member_dead", base::severity::warning,
                                                    "A member did not refute its suspicion in time."};
inline constexpr base::event_definition suspicion_refuted{
    605, "suspicion_refuted", base::severity::warning,
    "Other members reported this daemon as failed or with another incarnation; it announced a new one."};
inline constexpr base::event_definition datagram_invalid{606, "datagram_invalid", base::severity::warning,
                                                         "A membership datagram was invalid."};
inline constexpr base::event_definition peer_frame_invalid{
    610, "peer_frame_invalid", base::severity::warning,
    "A peer sent an invalid frame; its connection was closed."};
inline constexpr base::event_definition peer_silent{611, "peer_silent", base::severity::warning,
                                                    "A peer did not respond to a heartbeat; the connection "
                                                    "was closed, and the next request opens a new one."};
inline constexpr base::event_definition peer_handler_failed{
    612, "peer_handler_failed", base::severity::error,
    "The handler of a peer's request threw an exception; the outcome of a forwarded request was reported as "
    "unknown."};
inline constexpr base::event_definition configuration_accepted{
    620, "configuration_accepted", base::severity::info, "A newer configuration was activated."};
inline constexpr base::event_definition configuration_unreadable{
    621, "configuration_unreadable", base::severity::warning,
    "A peer's configuration was invalid and was ignored."};
inline constexpr base::event_definition configuration_fetch_failed{
    622, "configuration_fetch_failed", base::severity::info,
    "A configuration could not be fetched from a peer; the next peer is tried."};

/// Every definition above, for the test against docs/events.md.
inline constexpr std::array all{&member_joined,
                                &member_suspected,
                                &member_returned,
                                &member_leaving,
                                &member_dead,
                                &suspicion_refuted,
                                &datagram_invalid,
                                &peer_frame_invalid,
                                &peer_silent,
                                &peer_handler_failed,
                                &configuration_accepted,
                                &configuration_unreadable,
                                &configuration_fetch_failed};

} // namespace daemons::events
