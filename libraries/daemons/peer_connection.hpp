#pragma once

#include <base/clock.hpp>
#include <base/endpoint.hpp>
#include <base/result.hpp>
#include <daemons/connection_health.hpp>
#include <daemons/frame.hpp>
#include <daemons/frame_stream.hpp>
#include <daemons/peer_limits.hpp>
#include <daemons/throttle_table.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace daemons {

/// The client side of a connection to one peer, which multiplexes many requests.
///
/// Thread safety: used by one thread only. Lifetime: kept alive by its own coroutines until it is closed.
class peer_connection : public std::enable_shared_from_this<peer_connection> {
public:
    /// Connects within `limits.connect_timeout_`. Errors: `connection_failed`.
    [[nodiscard]] static boost::asio::awaitable<base::result<std::shared_ptr<peer_connection>>>
    connect(base::endpoint peer, peer_limits limits);

    peer_connection(base::endpoint peer, peer_limits limits, boost::asio::ip::tcp::socket socket);

    /// Sends a request and waits for the frame with its response. Errors: `connection_failed` when provably
    /// no part of the request was sent, `answer_lost` when it may have been sent; `too_large` and
    /// `overloaded` before anything is sent.
    [[nodiscard]] boost::asio::awaitable<base::result<frame>> send_request(frame_type type, std::string body,
                                                                           base::clock::duration timeout);

    /// Returns whether new requests should use this connection.
    [[nodiscard]] bool is_usable() const noexcept { return stream_->is_open() && !retired_; }

    /// Returns the throttle notices that the peer sent on this connection.
    [[nodiscard]] const throttle_table& throttles() const noexcept { return throttles_; }

    /// Closes the connection and ends every request on it with an error.
    void close(std::string_view reason);

private:
    struct call {
        explicit call(const boost::asio::any_io_executor& executor) : timer_{executor} {}

        boost::asio::steady_timer timer_;
        std::optional<frame> response_;
    };
    class call_registration;

    static boost::asio::awaitable<void> read_responses(std::shared_ptr<peer_connection> self);
    static boost::asio::awaitable<void> watch_health(std::shared_ptr<peer_connection> self);

    void start();
    /// Returns false for a frame that is invalid or that a server does not send.
    bool handle_frame(frame message);
    bool receive_throttle_notice(const std::string& body);
    void act(health_action action);
    void retire();
    base::error fail_request(std::uint64_t id, std::string_view what);

    base::endpoint peer_;
    peer_limits limits_;
    std::shared_ptr<frame_stream> stream_;
    boost::asio::steady_timer health_timer_;
    connection_activity activity_;
    std::map<std::uint64_t, call*> calls_;
    std::uint64_t last_id_ = 0;
    throttle_table throttles_;
    /// Accepts no new requests; closed once the pending ones have ended.
    bool retired_ = false;
    std::string close_reason_;
};

} // namespace daemons
