#pragma once

#include <base/event.hpp>

#include <array>

/// Log events of settings, declarations and publishing. Codes 500 to 599; `docs/events.md` documents each
/// one.
namespace operators::events {

inline constexpr base::event_definition settings_problem{500, "settings_problem", base::severity::error,
                                                         "A settings or declaration file is invalid."};

inline constexpr base::event_definition publish_answer_lost{
    510, "publish_answer_lost", base::severity::warning,
    "The store's response to a publication was lost; the key is read back to check whether it took effect."};

inline constexpr base::event_definition configuration_published{
    511, "configuration_published", base::severity::info, "The store accepted a configuration."};

inline constexpr base::event_definition configuration_unchanged{
    512, "configuration_unchanged", base::severity::info,
    "The declarations to publish were already in force; nothing was written."};

inline constexpr base::event_definition publish_conflict{
    513, "publish_conflict", base::severity::warning,
    "Another operator's configuration is in force instead of this publication."};

inline constexpr base::event_definition publish_failed{
    514, "publish_failed", base::severity::error,
    "A publication failed before its effect could be confirmed."};

/// All definitions above; a test compares them with `docs/events.md`.
inline constexpr std::array all{&settings_problem,        &publish_answer_lost, &configuration_published,
                                &configuration_unchanged, &publish_conflict,    &publish_failed};

} // namespace operators::events
