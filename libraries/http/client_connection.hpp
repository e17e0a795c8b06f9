#pragma once

#include <base/clock.hpp>
#include <base/endpoint.hpp>
#include <base/result.hpp>
#include <http/message.hpp>
#include <http/tls_settings.hpp>

#include <boost/asio/awaitable.hpp>

#include <memory>

namespace http {

/// The client's side of one HTTP/1.1 connection that carries one request at a time.
///
/// After a failed or timed-out exchange the connection is closed and stays unusable, so that a late answer
/// can never be taken for the answer to another request. Thread safety: used by the thread that connected it
/// only.
class client_connection {
public:
    /// Connects to an IP address. A null `tls` means plain TCP. Errors: `timeout`, `connection_failed`.
    [[nodiscard]] static boost::asio::awaitable<base::result<client_connection>>
    connect(base::endpoint peer, base::clock::duration timeout, tls_context tls = nullptr);

    ~client_connection();
    client_connection(client_connection&&) noexcept;
    client_connection& operator=(client_connection&&) noexcept;
    client_connection(const client_connection&) = delete;
    client_connection& operator=(const client_connection&) = delete;

    /// Sends a request and returns its whole response.
    /// Precondition: `is_usable()` and no other exchange is under way on this connection.
    /// Errors: `timeout`, `connection_failed`; the request may have run.
    [[nodiscard]] boost::asio::awaitable<base::result<response>> exchange(request message,
                                                                          base::clock::duration timeout);

    /// Returns whether another exchange may be started.
    [[nodiscard]] bool is_usable() const noexcept;

    /// Closes the socket, which ends a pending exchange.
    void close() noexcept;

private:
    struct implementation;
    explicit client_connection(std::unique_ptr<implementation> owned);
    std::unique_ptr<implementation> implementation_;
};

} // namespace http
