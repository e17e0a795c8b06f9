#pragma once

#include <base/clock.hpp>
#include <base/endpoint.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace http {

/// A TCP connection for a line-based protocol whose lines end in CR LF.
///
/// Thread safety: used by its executor's thread only. Precondition: at most one read and one write are
/// pending.
class line_socket {
public:
    explicit line_socket(const boost::asio::any_io_executor& executor);
    /// Takes ownership of an accepted socket.
    explicit line_socket(boost::asio::ip::tcp::socket socket);

    line_socket(const line_socket&) = delete;
    line_socket& operator=(const line_socket&) = delete;
    line_socket(line_socket&&) = delete;
    line_socket& operator=(line_socket&&) = delete;
    ~line_socket();

    /// Connects within `timeout` and applies `set_unacknowledged_timeout`. Returns whether it succeeded.
    [[nodiscard]] boost::asio::awaitable<bool> connect(base::endpoint peer, base::clock::duration timeout,
                                                       base::clock::duration unacknowledged_timeout);
    /// Makes the system abort the connection when sent bytes stay unacknowledged for `timeout`.
    void set_unacknowledged_timeout(base::clock::duration timeout);

    /// Returns the next line without its terminator. Closes the socket and returns nothing when the
    /// connection ended or the line with its terminator is longer than `max_line_bytes`. CR or LF alone is
    /// part of the line.
    [[nodiscard]] boost::asio::awaitable<std::optional<std::string>> read_line(std::size_t max_line_bytes);

    /// Writes all bytes. Returns whether they were passed to the operating system.
    [[nodiscard]] boost::asio::awaitable<bool> write(std::string bytes);

    /// Closes the socket at `deadline`, which aborts pending operations. Replaces an earlier deadline.
    void expires_at(base::clock::time_point deadline);
    /// Closes the socket after `timeout`, as `expires_at` does.
    void expires_after(base::clock::duration timeout);
    /// Cancels the deadline.
    void expires_never();
    /// Returns whether the socket was closed because a deadline has passed.
    [[nodiscard]] bool has_expired() const noexcept { return state_->has_expired_; }

    void close() noexcept;
    [[nodiscard]] bool is_open() const noexcept { return state_->socket_.is_open(); }
    /// Returns whether unread bytes or the end of the connection have arrived.
    [[nodiscard]] bool has_pending_input() const noexcept;

private:
    /// Shared with pending asynchronous operations, which may outlive the object.
    struct state {
        explicit state(boost::asio::ip::tcp::socket socket)
            : socket_{std::move(socket)}, timer_{socket_.get_executor()} {}
        boost::asio::ip::tcp::socket socket_;
        boost::asio::steady_timer timer_;
        bool has_expired_ = false;
        /// Incremented whenever the timer is set or cancelled, so that a handler that was already queued by
        /// an earlier expiry recognises that it is obsolete.
        std::uint64_t timer_generation_ = 0;
    };

    std::shared_ptr<state> state_;
    std::string input_;
    /// The number of bytes at the start of `input_` that `read_line` has already returned.
    std::size_t consumed_ = 0;
};

} // namespace http
