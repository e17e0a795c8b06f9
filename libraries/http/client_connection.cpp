#include <http/client_connection.hpp>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/ssl/stream.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <optional>

namespace http {

namespace asio = boost::asio;
namespace beast = boost::beast;

namespace {

constexpr std::uint64_t max_response_body_bytes = 64ULL * 1024 * 1024;

base::error exchange_error(const boost::system::error_code& failure, const std::string& peer) {
    const auto kind =
        failure == beast::error::timeout ? base::error_kind::timeout : base::error_kind::connection_failed;
    return base::error{kind, peer + ": " + failure.message()};
}

response to_response(beast::http::response<beast::http::string_body> message) {
    response_fields fields;
    fields.status_ = message.result_int();
    for (const auto& field : message) {
        fields.headers_.push_back({std::string{field.name_string()}, std::string{field.value()}});
    }
    fields.body_ = std::move(message.body());
    return fields;
}

beast::http::request<beast::http::string_body> to_message(const request& source, const std::string& host) {
    beast::http::request<beast::http::string_body> message{beast::http::string_to_verb(source->method_),
                                                           source->target_, 11};
    message.set(beast::http::field::host, host);
    for (const auto& field : source->headers_) {
        message.insert(field.name_, field.value_);
    }
    message.body() = source->body_;
    message.prepare_payload();
    return message;
}

/// Enables TCP keep-alive, which detects an unreachable peer while a long-running response, such as that of a
/// watch, is pending.
void enable_keep_alive(asio::ip::tcp::socket& socket) {
    constexpr int on = 1;
    constexpr int idle_s = 1;
    constexpr int interval_s = 1;
    constexpr int max_unanswered_probes = 2;
    const auto handle = socket.native_handle();
    ::setsockopt(handle, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
    ::setsockopt(handle, IPPROTO_TCP, TCP_KEEPIDLE, &idle_s, sizeof idle_s);
    ::setsockopt(handle, IPPROTO_TCP, TCP_KEEPINTVL, &interval_s, sizeof interval_s);
    ::setsockopt(handle, IPPROTO_TCP, TCP_KEEPCNT, &max_unanswered_probes, sizeof max_unanswered_probes);
}

template <typename Stream, typename Message, typename Parser>
asio::awaitable<boost::system::error_code> send_and_read_header(Stream& stream, beast::flat_buffer& buffer,
                                                                Message& message, Parser& parser) {
    boost::system::error_code failure;
    co_await beast::http::async_write(stream, message, asio::redirect_error(asio::use_awaitable, failure));
    if (!failure) {
        co_await beast::http::async_read_header(stream, buffer, parser,
                                                asio::redirect_error(asio::use_awaitable, failure));
    }
    co_return failure;
}

template <typename Stream, typename Parser>
asio::awaitable<boost::system::error_code> read_part(Stream& stream, beast::flat_buffer& buffer,
                                                     Parser& parser) {
    boost::system::error_code failure;
    co_await beast::http::async_read_some(stream, buffer, parser,
                                          asio::redirect_error(asio::use_awaitable, failure));
    co_return failure;
}

} // namespace

struct client_connection::implementation {
    implementation(const asio::any_io_executor& executor, const base::endpoint& peer, tls_context tls)
        : stream_{executor}, peer_{peer.to_string()}, tls_context_{std::move(tls)} {
        if (tls_context_) {
            tls_.emplace(stream_, *tls_context_);
        }
    }

    asio::awaitable<base::result<response>> exchange(request message, base::clock::duration timeout,
                                                     std::optional<base::clock::duration> part_timeout);

    beast::tcp_stream stream_;
    std::optional<asio::ssl::stream<beast::tcp_stream&>> tls_;
    beast::flat_buffer buffer_;
    std::string peer_;
    tls_context tls_context_;
    bool is_usable_ = true;
    bool is_receiving_body_ = false;
};

client_connection::client_connection(std::unique_ptr<implementation> owned)
    : implementation_{std::move(owned)} {}
client_connection::~client_connection() = default;
client_connection::client_connection(client_connection&&) noexcept = default;
client_connection& client_connection::operator=(client_connection&&) noexcept = default;

asio::awaitable<base::result<client_connection>>
client_connection::connect(base::endpoint peer, base::clock::duration timeout, tls_context tls) {
    const auto executor = co_await asio::this_coro::executor;
    boost::system::error_code failure;
    const auto address = asio::ip::make_address(peer.address(), failure);
    if (failure) {
        co_return base::error{base::error_kind::connection_failed, peer.address() + " is not an IP address"};
    }
    auto created = std::make_unique<implementation>(executor, peer, std::move(tls));
    created->stream_.expires_after(timeout);
    const asio::ip::tcp::endpoint target{address, peer.port()};
    co_await created->stream_.async_connect(target, asio::redirect_error(asio::use_awaitable, failure));
    if (!failure) {
        created->stream_.socket().set_option(asio::ip::tcp::no_delay{true}, failure);
        // Makes each way of closing the connection reset it and discard unsent bytes: the stream itself
        // closes the socket at a timeout. Otherwise a request that was abandoned during a network partition
        // could still arrive after the partition has ended.
        boost::system::error_code ignored;
        created->stream_.socket().set_option(asio::socket_base::linger{true, 0}, ignored);
        enable_keep_alive(created->stream_.socket());
    }
    if (!failure && created->tls_) {
        co_await created->tls_->async_handshake(asio::ssl::stream_base::client,
                                                asio::redirect_error(asio::use_awaitable, failure));
    }
    if (failure) {
        co_return exchange_error(failure, created->peer_);
    }
    co_return client_connection{std::move(created)};
}

asio::awaitable<base::result<response>> client_connection::exchange(request message,
                                                                    base::clock::duration timeout) {
    return implementation_->exchange(std::move(message), timeout, std::nullopt);
}

asio::awaitable<base::result<response>> client_connection::exchange(request message,
                                                                    base::clock::duration timeout,
                                                                    base::clock::duration part_timeout) {
    return implementation_->exchange(std::move(message), timeout, part_timeout);
}

asio::awaitable<base::result<response>>
client_connection::implementation::exchange(request message, base::clock::duration timeout,
                                            std::optional<base::clock::duration> part_timeout) {
    auto outgoing = to_message(message, peer_);
    beast::http::response_parser<beast::http::string_body> parser;
    parser.body_limit(max_response_body_bytes);
    // Set again once the whole response has been read; an abandoned exchange leaves the connection unusable.
    is_usable_ = false;
    stream_.expires_after(timeout);
    boost::system::error_code failure;
    if (tls_) {
        failure = co_await send_and_read_header(*tls_, buffer_, outgoing, parser);
    } else {
        failure = co_await send_and_read_header(stream_, buffer_, outgoing, parser);
    }
    is_receiving_body_ = true;
    while (!failure && !parser.is_done()) {
        if (part_timeout) {
            stream_.expires_after(*part_timeout);
        }
        if (tls_) {
            failure = co_await read_part(*tls_, buffer_, parser);
        } else {
            failure = co_await read_part(stream_, buffer_, parser);
        }
    }
    is_receiving_body_ = false;
    if (failure) {
        stream_.close();
        co_return exchange_error(failure, peer_);
    }
    stream_.expires_never();
    is_usable_ = parser.get().keep_alive();
    co_return to_response(parser.release());
}

bool client_connection::is_receiving_body() const noexcept {
    return implementation_ && implementation_->is_receiving_body_;
}

bool client_connection::is_usable() const noexcept {
    return implementation_ && implementation_->is_usable_;
}

void client_connection::close() noexcept {
    implementation_->is_usable_ = false;
    implementation_->stream_.close();
}

} // namespace http
