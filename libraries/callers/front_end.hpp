#pragma once

#include <base/request.hpp>
#include <base/response.hpp>
#include <callers/request_codec.hpp>
#include <callers/response_codec.hpp>
#include <callers/session_token.hpp>
#include <http/message.hpp>

#include <boost/asio/awaitable.hpp>

#include <concepts>
#include <cstddef>
#include <memory>
#include <string>
#include <utility>

namespace callers {

/// Answers requests, whatever front end they came through.
template <typename Service>
concept request_service = requires(Service& service, base::request request) {
    { service.response(std::move(request)) } -> std::same_as<boost::asio::awaitable<base::response>>;
};

/// Logs that a request could not be read. Thread safety: any thread.
void log_refusal(const base::error& reason);

/// Logs that a caller got no certain answer. Thread safety: any thread.
void log_unknown_outcome(const std::string& service, const base::response& response);

/// The HTTP front end for callers: decodes, asks the service, encodes. Satisfies `http::request_handler`.
/// Thread safety: one for each thread.
template <request_service Service>
class front_end {
public:
    /// Precondition: `service` outlives the front end.
    front_end(Service& service, std::shared_ptr<const token_signer> signer)
        : service_{&service}, signer_{std::move(signer)} {}

    /// Answers one HTTP request. `connection` numbers the caller's connection.
    boost::asio::awaitable<http::response> operator()(http::request message, std::size_t /*connection*/) {
        if (message->method_ != "POST") {
            co_return encode_refusal(unknown_path(message));
        }
        if (message->target_ == "/v1/request") {
            auto request = decode_request(message, *signer_);
            co_return co_await serve(std::move(request));
        }
        if (message->target_ == "/v1/outcome") {
            auto request = decode_outcome_request(message);
            co_return co_await serve(std::move(request));
        }
        co_return encode_refusal(unknown_path(message));
    }

private:
    static base::error unknown_path(const http::request& message) {
        return base::error{base::error_kind::not_found,
                           "there is no " + message->method_ + " " + message->target_ + " for callers"};
    }

    boost::asio::awaitable<http::response> serve(base::result<base::request> request) {
        if (!request) {
            log_refusal(request.last_reason());
            co_return encode_refusal(request.last_reason());
        }
        const auto service = (*request)->service_;
        auto pending = service_->response(std::move(*request));
        const auto response = co_await std::move(pending);
        if (response->outcome_ == base::outcome::unknown) {
            log_unknown_outcome(service, response);
        }
        co_return encode_response(response, service, *signer_);
    }

    Service* service_;
    std::shared_ptr<const token_signer> signer_;
};

} // namespace callers
