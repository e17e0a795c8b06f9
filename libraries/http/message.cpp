#include <http/message.hpp>

#include <algorithm>
#include <utility>

namespace http {

namespace {

char to_lower(char character) noexcept {
    return character >= 'A' && character <= 'Z' ? static_cast<char>(character - 'A' + 'a') : character;
}

bool equals_ignoring_case(std::string_view left, std::string_view right) noexcept {
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                      [](char one, char other) { return to_lower(one) == to_lower(other); });
}

const header json_content{"Content-Type", "application/json"};

} // namespace

std::optional<std::string_view> find_header(const std::vector<header>& headers,
                                            std::string_view name) noexcept {
    const auto found = std::find_if(headers.begin(), headers.end(), [name](const header& candidate) {
        return equals_ignoring_case(candidate.name_, name);
    });
    if (found == headers.end()) {
        return std::nullopt;
    }
    return found->value_;
}

request json_post(std::string target, std::string body) {
    return request_fields{.method_ = "POST",
                          .target_ = std::move(target),
                          .headers_ = {json_content},
                          .body_ = std::move(body)};
}

response json_response(unsigned status, std::string body) {
    return response_fields{.status_ = status, .headers_ = {json_content}, .body_ = std::move(body)};
}

} // namespace http
