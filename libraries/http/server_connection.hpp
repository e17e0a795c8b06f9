#pragma once

#include <base/result.hpp>
#include <http/limits.hpp>
#include <http/message.hpp>
#include <http/tls_settings.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <memory>

namespace http {

/// The server side of an HTTP/1.1 connection, with or without TLS.
/// Thread safety: used by its executor's thread only.
class server_connection {
public:
    /// Takes ownership of an accepted socket. A null `tls` means plain TCP.
    server_connection(boost::asio::ip::tcp::socket socket, limits connection_limits, tls_context tls);
    ~server_connection();
    server_connection(server_connection&&) noexcept;
    server_connection& operator=(server_connection&&) noexcept;
    server_connection(const server_connection&) = delete;
    server_connection& operator=(const server_connection&) = delete;

    /// Performs the TLS handshake; does nothing for plain TCP. Returns whether the connection is usable.
    [[nodiscard]] boost::asio::awaitable<bool> accept_tls();

    /// Reads the next request completely.
    /// Errors: `too_large` and `invalid_request`, for which the caller sends an error response before
    /// closing; `timeout` and `connection_failed`, for which it only closes.
    [[nodiscard]] boost::asio::awaitable<base::result<request>> read();

    /// Writes a response. Returns whether the connection can carry another request.
    [[nodiscard]] boost::asio::awaitable<bool> write(response outgoing);

    /// Returns whether bytes have arrived that `read` has not consumed yet.
    [[nodiscard]] bool has_unread_bytes() const noexcept;

    /// Closes the socket, which aborts a pending `read` or `write`.
    void close() noexcept;

    /// Makes the next response carry `Connection: close`, after which the connection is not reused.
    void close_after_next_response() noexcept;

private:
    struct implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace http
