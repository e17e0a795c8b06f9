#pragma once

#include <base/clock.hpp>
#include <base/error.hpp>
#include <http/message.hpp>

#include <cstdint>
#include <optional>
#include <string_view>

namespace platform {

/// Whether a call changes the store. It decides what an unanswered call is reported as.
enum class call_effect : std::uint8_t { reads, changes };

/// Returns the error for a call that was sent without an answer arriving: `answer_lost` for a change, which
/// may have been applied, `platform_unavailable` for a read.
[[nodiscard]] base::error unanswered_call(call_effect effect, const base::error& cause);

/// Returns the error for a call that was not sent; nothing was changed.
[[nodiscard]] base::error unsent_call(const base::error& cause);

/// Returns the error that a response stands for, nothing when it carries an answer. Refusals that prove that
/// nothing was changed are `overloaded`, `too_large` and `invalid_request`; every other status leaves a
/// change open.
[[nodiscard]] std::optional<base::error> failure_in(const http::response& response, call_effect effect);

/// Returns the pause that a response's `Retry-After` asks for; one second when a 429 names none, zero for any
/// other response without it.
[[nodiscard]] base::clock::duration asked_pause(const http::response& response);

} // namespace platform
