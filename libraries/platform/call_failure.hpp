#pragma once

#include <base/clock.hpp>
#include <base/error.hpp>
#include <http/message.hpp>

#include <cstdint>
#include <optional>
#include <string_view>

namespace platform {

/// Whether a call changes the store. Determines the error of a call that got no response.
enum class call_effect : std::uint8_t { reads, changes };

/// Returns the error for a call that was sent but got no response: `answer_lost` for a change, which may have
/// been applied, `platform_unavailable` for a read.
[[nodiscard]] base::error no_response_error(call_effect effect, const base::error& cause);

/// Returns the error for a call that was not sent and therefore changed nothing.
[[nodiscard]] base::error unsent_call_error(const base::error& cause);

/// Returns the error that a response represents; empty when the call succeeded. `overloaded`, `too_large` and
/// `invalid_request` prove that nothing was changed; every other error status leaves it unknown whether a
/// change was applied.
[[nodiscard]] std::optional<base::error> response_error(const http::response& response, call_effect effect);

/// Returns the delay that a response requests with `Retry-After`: 1 s for a 429 response without this header,
/// zero for any other response without it.
[[nodiscard]] base::clock::duration retry_after(const http::response& response);

} // namespace platform
