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

/// Reads and writes frames on one TCP connection; used by both client and server.
///
/// Thread safety: used by the thread of the socket's executor only. Lifetime: kept alive by its own writes.
class frame_stream : public std::enable_shared_from_this<frame_stream> {
public:
    explicit frame_stream(boost::asio::ip::tcp::socket socket) : socket_{std::move(socket)} {}

    /// Waits for the next frame. Precondition: one read at a time.
    /// Errors: `frame_invalid`, `connection_failed` when the connection ends.
    [[nodiscard]] boost::asio::awaitable<base::result<frame>> read();

    /// Queues a frame to be written after the frames before it; on a closed stream the frame is dropped.
    /// Precondition: held by a `std::shared_ptr`; the body has at most `max_body_bytes`.
    void send(const frame& message);

    /// Removes a queued frame. Returns false when it is no longer queued because its writing has started.
    /// Also works on a closed stream.
    bool withdraw(std::uint64_t id);

    /// Closes the socket and ends a pending read. Frames that were not written stay queued for `withdraw`.
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
    void fill_batch();

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
