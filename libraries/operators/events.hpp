#pragma once

#include <base/event.hpp>

#include <array>

/// Events of this package, numbered from 500.
namespace operators::events {

inline constexpr base::event_definition settings_problem{500, "settings_problem", base::severity::error,
                                                         "A settings or declaration file has a fault."};

inline constexpr base::event_definition publish_answer_lost{
    510, "publish_answer_lost", base::severity::warning,
    "The store's answer to a publication was lost; the key is read back to see whether it took effect."};

inline constexpr base::event_definition configuration_published{
    511, "configuration_published", base::severity::info, "The store accepted a configuration."};

inline constexpr base::event_definition configuration_unchanged{
    512, "configuration_unchanged", base::severity::info,
    "The content to publish was already in force; nothing was written."};

inline constexpr base::event_definition publish_conflict{
    513, "publish_conflict", base::severity::warning,
    "Another operator's configuration is in force in place of this publication."};

inline constexpr base::event_definition publish_failed{
    514, "publish_failed", base::severity::error,
    "A publication ended with an error before its effect could be confirmed."};

/// Every definition above, for the test against docs/events.md.
inline constexpr std::array all{&settings_problem,        &publish_answer_lost, &configuration_published,
                                &configuration_unchanged, &publish_conflict,    &publish_failed};

} // namespace operators::events
