#include <platform/call_failure.hpp>

#include <charconv>
#include <string>

namespace platform {

namespace {

constexpr unsigned ok = 200;
constexpr unsigned bad_request = 400;
constexpr unsigned not_found = 404;
constexpr unsigned too_large = 413;
constexpr unsigned too_many_requests = 429;

std::string status_text(const http::response& response) {
    return "the store responded with status " + std::to_string(response->status_);
}

} // namespace

base::error no_response_error(call_effect effect, const base::error& cause) {
    if (effect == call_effect::changes) {
        return {base::error_kind::answer_lost,
                "the response of the store was lost and the change may have been applied: " +
                    cause.message()};
    }
    return {base::error_kind::platform_unavailable, "the store did not respond: " + cause.message()};
}

base::error unsent_call_error(const base::error& cause) {
    return {base::error_kind::platform_unavailable, "the store could not be reached: " + cause.message()};
}

std::optional<base::error> response_error(const http::response& response, call_effect effect) {
    switch (response->status_) {
    case ok:
        return std::nullopt;
    case too_many_requests:
        return base::error{base::error_kind::overloaded, "the call limit of the store is exhausted"};
    case too_large:
        return base::error{base::error_kind::too_large, "the value exceeds the size limit of the store"};
    case bad_request:
    case not_found:
        return base::error{base::error_kind::invalid_request, status_text(response)};
    default:
        return no_response_error(effect, {base::error_kind::platform_unavailable, status_text(response)});
    }
}

base::clock::duration retry_after(const http::response& response) {
    const auto text = http::find_header(response->headers_, "Retry-After").value_or("");
    std::uint32_t seconds = 0;
    const auto [end, status] = std::from_chars(text.data(), text.data() + text.size(), seconds);
    if (status == std::errc{} && end == text.data() + text.size() && !text.empty()) {
        return std::chrono::seconds{seconds};
    }
    return response->status_ == too_many_requests ? std::chrono::seconds{1} : std::chrono::seconds{0};
}

} // namespace platform
