#pragma once

#include <base/result.hpp>
#include <http/limits.hpp>
#include <http/message.hpp>
#include <http/tls_settings.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <memory>

namespace http {

/// The server's side of one HTTP/1.1 connection, with or without TLS.
/// Thread safety: used by the thread of its executor only.
class server_connection {
public:
    /// Takes over an accepted socket. A null `tls` means plain TCP.
    server_connection(boost::asio::ip::tcp::socket socket, limits bounds, tls_context tls);
    ~server_connection();
    server_connection(server_connection&&) noexcept;
    server_connection& operator=(server_connection&&) noexcept;
    server_connection(const server_connection&) = delete;
    server_connection& operator=(const server_connection&) = delete;

    /// Completes the TLS handshake; does nothing on plain TCP. Returns whether the connection may be used.
    [[nodiscard]] boost::asio::awaitable<bool> accept_tls();

    /// Reads the next whole request.
    /// Errors: `too_large` and `invalid_request` deserve an answer before closing, `timeout` and
    /// `connection_failed` do not.
    [[nodiscard]] boost::asio::awaitable<base::result<request>> read();

    /// Writes a response. Returns whether the connection may carry another request.
    [[nodiscard]] boost::asio::awaitable<bool> write(response answer);

    /// Returns whether bytes have arrived that `read` has not returned yet.
    [[nodiscard]] bool has_unread_bytes() const noexcept;

    /// Closes the socket, which ends any pending `read` or `write`.
    void close() noexcept;

    /// Makes the next response carry `Connection: close`.
    void close_after_next_response() noexcept;

private:
    struct implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace http
