#pragma once

#include <base/endpoint.hpp>
#include <base/result.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <optional>

namespace http {

/// A listening TCP socket with SO_REUSEPORT, so that each thread can have its own on the same port.
/// Thread safety: used by the thread of its executor only.
class listener {
public:
    /// Binds and listens. Errors: `settings_invalid` when the address is no IP address or is taken.
    [[nodiscard]] static base::result<listener> open(const boost::asio::any_io_executor& executor,
                                                     const base::endpoint& local);

    /// Waits for the next connection; its socket has TCP_NODELAY set.
    /// Errors: `connection_failed`, also after `close`.
    [[nodiscard]] boost::asio::awaitable<base::result<boost::asio::ip::tcp::socket>> accept();

    /// Returns a connection that waits already, or nothing. Does not wait.
    [[nodiscard]] std::optional<boost::asio::ip::tcp::socket> accept_pending();

    /// Stops listening, which ends a pending `accept`.
    void close() noexcept;

    [[nodiscard]] bool is_open() const noexcept { return acceptor_.is_open(); }

private:
    explicit listener(boost::asio::ip::tcp::acceptor acceptor) : acceptor_{std::move(acceptor)} {}

    boost::asio::ip::tcp::acceptor acceptor_;
};

} // namespace http
