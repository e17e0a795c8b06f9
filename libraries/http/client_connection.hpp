#pragma once

#include <base/clock.hpp>
#include <base/endpoint.hpp>
#include <base/result.hpp>
#include <http/message.hpp>
#include <http/tls_settings.hpp>

#include <boost/asio/awaitable.hpp>

#include <memory>

namespace http {

/// The client side of an HTTP/1.1 connection, which carries one request at a time.
///
/// A failed or timed-out exchange closes the connection for further use, so that a late response cannot be
/// mistaken for the response to another request. Thread safety: used only by the thread that connected it.
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

    /// Sends a request and returns the complete response.
    /// Precondition: `is_usable()`, and no other exchange is in progress on this connection.
    /// Errors: `timeout`, `connection_failed`; in both cases the request may have run.
    [[nodiscard]] boost::asio::awaitable<base::result<response>> exchange(request message,
                                                                          base::clock::duration timeout);

    /// The same, but `timeout` ends with the header of the response. The body may take as long as each part
    /// of it arrives within `part_timeout`, so that a large response over a slow link is not given up.
    [[nodiscard]] boost::asio::awaitable<base::result<response>>
    exchange(request message, base::clock::duration timeout, base::clock::duration part_timeout);

    /// Returns whether the body of a response is arriving.
    [[nodiscard]] bool is_receiving_body() const noexcept;
    /// Returns whether another exchange can be started.
    [[nodiscard]] bool is_usable() const noexcept;

    /// Closes the socket, which aborts a pending exchange.
    void close() noexcept;

private:
    struct implementation;
    explicit client_connection(std::unique_ptr<implementation> owned);
    std::unique_ptr<implementation> implementation_;
};

} // namespace http
