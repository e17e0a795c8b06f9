#pragma once

#include <base/immutable.hpp>

#include <compare>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace http {

/// A header field. Names are case-insensitive, see `find_header`.
struct header {
    std::string name_;
    std::string value_;

    friend auto operator<=>(const header&, const header&) = default;
};

/// An HTTP/1.1 request, without protocol version and framing.
struct request_fields {
    std::string method_;
    std::string target_;
    std::vector<header> headers_;
    std::string body_;

    friend auto operator<=>(const request_fields&, const request_fields&) = default;
    friend bool operator==(const request_fields&, const request_fields&) = default;
};

/// An HTTP/1.1 response, without protocol version and framing.
struct response_fields {
    unsigned status_ = 200;
    std::vector<header> headers_;
    std::string body_;

    friend auto operator<=>(const response_fields&, const response_fields&) = default;
    friend bool operator==(const response_fields&, const response_fields&) = default;
};

using request = base::immutable<request_fields>;
using response = base::immutable<response_fields>;

/// Returns the value of the first header field called `name`, which is compared case-insensitively.
[[nodiscard]] std::optional<std::string_view> find_header(const std::vector<header>& headers,
                                                          std::string_view name) noexcept;

/// Returns a POST request with a JSON body.
[[nodiscard]] request json_post(std::string target, std::string body);

/// Returns a response with a JSON body.
[[nodiscard]] response json_response(unsigned status, std::string body);

} // namespace http
