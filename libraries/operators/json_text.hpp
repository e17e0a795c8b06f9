#pragma once

#include <base/result.hpp>

#include <string>
#include <string_view>

namespace operators {

/// Turns a JSON document into indented lines of `name: value` for reading. Control characters in texts appear
/// as spaces, so that an answer cannot move the terminal's cursor. Errors: `internal` if it is not JSON.
[[nodiscard]] base::result<std::string> render_json(std::string_view text);

/// Returns the error that a JSON answer carries as `{"error":{"kind","message"}}`, or an `internal` error
/// that quotes the status if it carries none.
[[nodiscard]] base::error read_error_response(unsigned status, std::string_view text);

} // namespace operators
