#pragma once

#include <base/clock.hpp>
#include <base/endpoint.hpp>
#include <base/memory_budget.hpp>

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

    /// Makes the buffer of unread input take what exceeds `free_input_bytes` from a budget. While the part is
    /// used up, nothing is read. Precondition: `budget` is null or outlives the object.
    void limit_input(base::memory_budget* budget, base::memory_part part) {
        input_hold_ = base::memory_hold{budget, part};
    }
    /// Returns how many bytes of the budget the input holds: unread bytes and the line that was returned
    /// last.
    [[nodiscard]] std::uint64_t held_input_bytes() const noexcept { return input_hold_.bytes(); }

    /// Returns the next line without its terminator. Closes the socket and returns nothing when the
    /// connection ended or the line with its terminator is longer than `max_line_bytes`. CR or LF alone is
    /// part of the line.
    [[nodiscard]] boost::asio::awaitable<std::optional<std::string>> read_line(std::size_t max_line_bytes);

    /// Returns whether `read_line` has ended because the line was too long.
    [[nodiscard]] bool is_line_too_long() const noexcept { return is_line_too_long_; }
    /// Returns since when the rest of a line has been missing, or nothing if no line has begun.
    [[nodiscard]] std::optional<base::clock::time_point> partial_line_since() const noexcept {
        return partial_line_since_;
    }
    /// Returns when the peer last read of the bytes that wait to be written, or nothing if none wait.
    [[nodiscard]] std::optional<base::clock::time_point> unread_since() const noexcept {
        return unread_since_;
    }

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
    /// Returns the peer's address and port, or `-` if the connection has ended.
    [[nodiscard]] std::string peer() const;
    [[nodiscard]] bool is_open() const noexcept { return state_->socket_.is_open(); }
    /// Returns whether unread bytes or the end of the connection have arrived.
    [[nodiscard]] bool has_pending_input() const noexcept;

    /// The part of the input buffer that each connection has without a budget; an ordinary line fits.
    static constexpr std::size_t free_input_bytes = 4096;

private:
    /// Makes room for `size` bytes of input in total. Returns false if the connection ended meanwhile.
    [[nodiscard]] boost::asio::awaitable<bool> reserve_input(std::size_t size, std::size_t max_line_bytes);
    /// Releases the buffer of a long line once its bytes have been used.
    void shrink_input();

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
    /// Covers the buffer's capacity, and after `read_line` the returned line until the next call.
    base::memory_hold input_hold_;
    std::optional<base::clock::time_point> partial_line_since_;
    std::optional<base::clock::time_point> unread_since_;
    bool is_line_too_long_ = false;
};

} // namespace http
