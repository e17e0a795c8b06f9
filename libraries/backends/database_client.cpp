#include <backends/database_client.hpp>

#include <backends/database_codec.hpp>

#include <utility>

namespace backends {

namespace asio = boost::asio;

namespace {

std::string target_of(statement_path path) {
    switch (path) {
    case statement_path::execute:
        return "/v1/execute";
    case statement_path::begin:
        return "/v1/begin";
    case statement_path::statement:
        return "/v1/statement";
    case statement_path::commit:
        return "/v1/commit";
    case statement_path::rollback:
        return "/v1/rollback";
    }
    return "/v1/execute";
}

// A connection that brought a malformed answer or one for another request must not carry a further request.
template <typename Value>
base::result<Value> close_on_error(base::result<Value> decoded, http::client_connection& connection) {
    if (!decoded) {
        connection.close();
    }
    return decoded;
}

} // namespace

asio::awaitable<base::result<database_client>>
database_client::connect(base::endpoint address, base::clock::duration timeout, std::string caller) {
    auto connected = co_await http::client_connection::connect(std::move(address), timeout);
    if (!connected) {
        co_return connected.last_reason();
    }
    co_return database_client{std::move(*connected), std::move(caller)};
}

asio::awaitable<base::result<database_status>> database_client::status(std::optional<status_wait> wait,
                                                                       base::clock::duration timeout) {
    const auto id = ++last_id_;
    auto body = encode_status_request(id, wait);
    const auto response = co_await post("/v1/status", std::move(body), timeout);
    if (!response) {
        co_return response.last_reason();
    }
    co_return close_on_error(decode_status(id, *response), connection_);
}

asio::awaitable<base::result<term_response>> database_client::raise(takeover_request request,
                                                                    base::clock::duration timeout) {
    const auto id = ++last_id_;
    auto body = encode_term_request(id, request);
    const auto response = co_await post("/v1/raise", std::move(body), timeout);
    if (!response) {
        co_return response.last_reason();
    }
    co_return close_on_error(decode_term_response(id, takeover_step::raise, *response), connection_);
}

asio::awaitable<base::result<term_response>> database_client::promote(takeover_request request,
                                                                      base::clock::duration timeout) {
    const auto id = ++last_id_;
    auto body = encode_term_request(id, request);
    const auto response = co_await post("/v1/promote", std::move(body), timeout);
    if (!response) {
        co_return response.last_reason();
    }
    co_return close_on_error(decode_term_response(id, takeover_step::promote, *response), connection_);
}

asio::awaitable<base::result<execute_response>>
database_client::run(statement_path path, execute_request request, base::clock::duration timeout) {
    const auto id = ++last_id_;
    auto body = encode_execute_request(id, request);
    const auto response = co_await post(target_of(path), std::move(body), timeout);
    if (!response) {
        co_return response.last_reason();
    }
    co_return close_on_error(decode_execute_response(id, *response), connection_);
}

asio::awaitable<base::result<settle_response>> database_client::settle(settle_request request,
                                                                       base::clock::duration timeout) {
    const auto id = ++last_id_;
    auto body = encode_settle_request(id, request);
    const auto response = co_await post("/v1/settle", std::move(body), timeout);
    if (!response) {
        co_return response.last_reason();
    }
    co_return close_on_error(decode_settle_response(id, *response), connection_);
}

asio::awaitable<base::result<std::string>> database_client::post(std::string path, std::string body,
                                                                 base::clock::duration timeout) {
    auto message = http::json_post(std::move(path), std::move(body));
    if (!caller_.empty()) {
        message = message.with([this](http::request_fields& fields) {
            fields.headers_.push_back({"Sassafrasdeal-From", caller_});
        });
    }
    auto response = co_await connection_.exchange(std::move(message), timeout);
    if (!response) {
        co_return response.last_reason();
    }
    if ((*response)->status_ != 200) {
        connection_.close();
        co_return base::error{base::error_kind::backend_unavailable,
                              "a database answered with HTTP status " + std::to_string((*response)->status_)};
    }
    co_return (*response)->body_;
}

} // namespace backends
