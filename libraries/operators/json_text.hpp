#pragma once

#include <base/result.hpp>

#include <string>
#include <string_view>

namespace operators {

/// Formats a JSON document as indented lines of `name: value`. Control characters are replaced by spaces, so
/// that a response cannot control the terminal. Errors: `internal` if the text is not JSON.
[[nodiscard]] base::result<std::string> render_json(std::string_view text);

/// Returns the error in a JSON response of the form `{"error":{"kind","message"}}`, or an `internal` error
/// with the status if the response has another form.
[[nodiscard]] base::error read_error_response(unsigned status, std::string_view text);

} // namespace operators
