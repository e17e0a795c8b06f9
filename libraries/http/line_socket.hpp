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

/// A TCP connection that carries lines ending in CR LF.
///
/// Thread safety: used by the thread of its executor only. Precondition: one read and one write at a time.
class line_socket {
public:
    explicit line_socket(const boost::asio::any_io_executor& executor);
    /// Takes over an accepted socket.
    explicit line_socket(boost::asio::ip::tcp::socket socket);

    line_socket(const line_socket&) = delete;
    line_socket& operator=(const line_socket&) = delete;
    line_socket(line_socket&&) = delete;
    line_socket& operator=(line_socket&&) = delete;
    ~line_socket();

    /// Connects within `limit`. Sent bytes that stay unacknowledged for `unacknowledged_timeout` end the
    /// connection.
    [[nodiscard]] boost::asio::awaitable<bool> connect(base::endpoint peer, base::clock::duration limit,
                                                       base::clock::duration unacknowledged_timeout);
    /// Ends the connection when sent bytes stay unacknowledged for this long.
    void set_unacknowledged_timeout(base::clock::duration limit);

    /// Returns the next line without its end. Empty when the connection ended or the line is longer than
    /// `most_bytes`; the socket is then closed.
    [[nodiscard]] boost::asio::awaitable<std::optional<std::string>> read_line(std::size_t most_bytes);

    /// Writes all bytes. Returns whether the system took them.
    [[nodiscard]] boost::asio::awaitable<bool> write(std::string bytes);

    /// Closes the socket at a time, which ends what is under way.
    void expires_at(base::clock::time_point moment);
    void expires_after(base::clock::duration limit);
    void expires_never();
    /// Returns whether the socket was closed because its time had passed.
    [[nodiscard]] bool has_expired() const noexcept { return state_->has_expired_; }

    void close() noexcept;
    [[nodiscard]] bool is_open() const noexcept { return state_->socket_.is_open(); }
    /// Returns whether bytes or the end of the connection have arrived that were not read yet.
    [[nodiscard]] bool has_pending_input() const noexcept;

private:
    /// Outlives the object while an operation of the system refers to it.
    struct state {
        explicit state(boost::asio::ip::tcp::socket socket)
            : socket_{std::move(socket)}, timer_{socket_.get_executor()} {}
        boost::asio::ip::tcp::socket socket_;
        boost::asio::steady_timer timer_;
        bool has_expired_ = false;
        /// Tells the handler of a timer that was set again, but had already expired, that it is out of date.
        std::uint64_t timer_generation_ = 0;
    };

    std::shared_ptr<state> state_;
    std::string input_;
    /// Bytes at the start of `input_` that have been returned already.
    std::size_t consumed_ = 0;
};

} // namespace http
