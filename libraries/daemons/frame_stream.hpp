#pragma once

#include <base/clock.hpp>
#include <base/result.hpp>
#include <daemons/frame.hpp>
#include <daemons/frame_codec.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>

namespace daemons {

/// Frames over one TCP connection, for both of its ends.
/// Thread safety: used by the thread of the socket's executor only. Lifetime: kept alive by its own writes.
class frame_stream : public std::enable_shared_from_this<frame_stream> {
public:
    explicit frame_stream(boost::asio::ip::tcp::socket socket) : socket_{std::move(socket)} {}

    /// Waits for the next frame. Precondition: one read at a time.
    /// Errors: `frame_invalid`, `connection_failed` when the connection ends.
    [[nodiscard]] boost::asio::awaitable<base::result<frame>> read();

    /// Queues a frame; it is written as soon as the frames before it are. Dropped on a closed stream.
    /// Precondition: held by a `std::shared_ptr`; the body has at most `most_body_bytes`.
    void send(const frame& message);

    /// Takes a queued frame back. Returns false when it was not queued any more, because its writing had
    /// started. Works on a closed stream too.
    bool withdraw(std::uint64_t id);

    /// Closes the socket; a pending read ends. Frames that were not written stay queued for `withdraw`.
    void close() noexcept;

    [[nodiscard]] boost::asio::any_io_executor executor() { return socket_.get_executor(); }
    [[nodiscard]] bool is_open() const noexcept { return socket_.is_open(); }
    /// Returns when bytes last arrived.
    [[nodiscard]] base::clock::time_point last_received() const noexcept { return last_received_; }
    /// Returns the bytes that are queued or being written.
    [[nodiscard]] std::size_t unsent_bytes() const noexcept { return queued_bytes_ + writing_.size(); }

private:
    struct queued_frame {
        std::uint64_t id_;
        std::string bytes_;
    };

    static boost::asio::awaitable<void> write_queued(std::shared_ptr<frame_stream> self);
    void take_batch();

    // Small, because a daemon holds a connection to every member of its region.
    static constexpr std::size_t read_bytes = 4096;

    boost::asio::ip::tcp::socket socket_;
    frame_decoder decoder_;
    std::array<char, read_bytes> input_{};
    std::deque<queued_frame> queue_;
    std::size_t queued_bytes_ = 0;
    std::string writing_;
    base::clock::time_point last_received_ = base::clock::now();
};

} // namespace daemons
