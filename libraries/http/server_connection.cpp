#include <http/server_connection.hpp>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/ssl/stream.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <optional>

namespace http {

namespace asio = boost::asio;
namespace beast = boost::beast;

struct server_connection::implementation {
    implementation(asio::ip::tcp::socket socket, limits bounds, tls_context tls)
        : stream_{std::move(socket)}, limits_{bounds}, tls_context_{std::move(tls)} {
        if (tls_context_) {
            tls_.emplace(stream_, *tls_context_);
        }
    }

    beast::tcp_stream stream_;
    std::optional<asio::ssl::stream<beast::tcp_stream&>> tls_;
    beast::flat_buffer buffer_;
    limits limits_;
    tls_context tls_context_;
    unsigned version_ = 11;
    bool keep_alive_ = true;
};

namespace {

base::error read_error(const boost::system::error_code& failure) {
    if (failure == beast::http::error::body_limit || failure == beast::http::error::header_limit ||
        failure == beast::http::error::buffer_overflow) {
        return base::error{base::error_kind::too_large, "the request exceeds this daemon's size limits"};
    }
    if (failure == beast::error::timeout) {
        return base::error{base::error_kind::timeout, "the request did not arrive in time"};
    }
    if (failure.category() == beast::http::make_error_code(beast::http::error::bad_method).category() &&
        failure != beast::http::error::end_of_stream && failure != beast::http::error::partial_message) {
        return base::error{base::error_kind::invalid_request,
                           "the request is not HTTP/1.1: " + failure.message()};
    }
    return base::error{base::error_kind::connection_failed, failure.message()};
}

request to_request(beast::http::request<beast::http::string_body> message) {
    request_fields fields;
    fields.method_ = std::string{message.method_string()};
    fields.target_ = std::string{message.target()};
    for (const auto& field : message) {
        fields.headers_.push_back({std::string{field.name_string()}, std::string{field.value()}});
    }
    fields.body_ = std::move(message.body());
    return fields;
}

template <typename Stream>
asio::awaitable<boost::system::error_code>
read_message(Stream& stream, beast::tcp_stream& lowest, beast::flat_buffer& buffer,
             beast::http::request_parser<beast::http::string_body>& parser, limits bounds) {
    boost::system::error_code failure;
    lowest.expires_after(bounds.idle_timeout_);
    if (buffer.size() == 0) {
        auto space = buffer.prepare(4096);
        const auto received =
            co_await stream.async_read_some(space, asio::redirect_error(asio::use_awaitable, failure));
        if (failure) {
            co_return failure;
        }
        buffer.commit(received);
    }
    lowest.expires_after(bounds.transfer_timeout_);
    co_await beast::http::async_read(stream, buffer, parser,
                                     asio::redirect_error(asio::use_awaitable, failure));
    co_return failure;
}

} // namespace

server_connection::server_connection(asio::ip::tcp::socket socket, limits bounds, tls_context tls)
    : implementation_{std::make_unique<implementation>(std::move(socket), bounds, std::move(tls))} {}
server_connection::~server_connection() = default;
server_connection::server_connection(server_connection&&) noexcept = default;
server_connection& server_connection::operator=(server_connection&&) noexcept = default;

asio::awaitable<bool> server_connection::accept_tls() {
    auto& self = *implementation_;
    if (!self.tls_) {
        co_return true;
    }
    boost::system::error_code failure;
    self.stream_.expires_after(self.limits_.transfer_timeout_);
    co_await self.tls_->async_handshake(asio::ssl::stream_base::server,
                                        asio::redirect_error(asio::use_awaitable, failure));
    co_return !failure;
}

asio::awaitable<base::result<request>> server_connection::read() {
    auto& self = *implementation_;
    beast::http::request_parser<beast::http::string_body> parser;
    parser.header_limit(self.limits_.header_bytes_);
    parser.body_limit(self.limits_.body_bytes_);
    boost::system::error_code failure;
    if (self.tls_) {
        failure = co_await read_message(*self.tls_, self.stream_, self.buffer_, parser, self.limits_);
    } else {
        failure = co_await read_message(self.stream_, self.stream_, self.buffer_, parser, self.limits_);
    }
    if (failure) {
        self.keep_alive_ = false;
        co_return read_error(failure);
    }
    self.keep_alive_ = self.keep_alive_ && parser.get().keep_alive();
    self.version_ = parser.get().version();
    co_return to_request(parser.release());
}

asio::awaitable<bool> server_connection::write(response answer) {
    auto& self = *implementation_;
    beast::http::response<beast::http::string_body> message{static_cast<beast::http::status>(answer->status_),
                                                            self.version_};
    for (const auto& field : answer->headers_) {
        message.insert(field.name_, field.value_);
    }
    message.body() = answer->body_;
    message.keep_alive(self.keep_alive_);
    message.prepare_payload();
    boost::system::error_code failure;
    self.stream_.expires_after(self.limits_.transfer_timeout_);
    if (self.tls_) {
        co_await beast::http::async_write(*self.tls_, message,
                                          asio::redirect_error(asio::use_awaitable, failure));
    } else {
        co_await beast::http::async_write(self.stream_, message,
                                          asio::redirect_error(asio::use_awaitable, failure));
    }
    co_return !failure && self.keep_alive_;
}

bool server_connection::has_unread_bytes() const noexcept {
    boost::system::error_code ignored;
    return implementation_->buffer_.size() > 0 || implementation_->stream_.socket().available(ignored) > 0;
}

void server_connection::close() noexcept {
    implementation_->stream_.close();
}

void server_connection::close_after_next_response() noexcept {
    implementation_->keep_alive_ = false;
}

} // namespace http
