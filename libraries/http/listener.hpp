#pragma once

#include <base/endpoint.hpp>
#include <base/result.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <optional>

namespace http {

/// A listening TCP socket with SO_REUSEPORT, which allows each thread to have its own listener on one port.
/// Thread safety: used by its executor's thread only.
class listener {
public:
    /// Binds to `local` and listens. Errors: `settings_invalid` when it is not an IP address or is in use.
    [[nodiscard]] static base::result<listener> open(const boost::asio::any_io_executor& executor,
                                                     const base::endpoint& local);

    /// Bounds what the operating system holds of each connection that is accepted from now on. Best effort.
    void limit_socket_buffers(int bytes);

    /// Waits for the next connection and sets TCP_NODELAY on its socket.
    /// Errors: `too_large` if there is no free descriptor; `connection_failed` otherwise, also after `close`.
    [[nodiscard]] boost::asio::awaitable<base::result<boost::asio::ip::tcp::socket>> accept();

    /// Returns a connection from the backlog, or nothing if there is none. Does not block.
    [[nodiscard]] std::optional<boost::asio::ip::tcp::socket> accept_pending();

    /// Stops listening, which aborts a pending `accept`.
    void close() noexcept;

    [[nodiscard]] bool is_open() const noexcept { return acceptor_.is_open(); }

private:
    explicit listener(boost::asio::ip::tcp::acceptor acceptor) : acceptor_{std::move(acceptor)} {}

    boost::asio::ip::tcp::acceptor acceptor_;
};

} // namespace http
