#pragma once

#include <base/clock.hpp>
#include <base/endpoint.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <memory>
#include <vector>

namespace review {

/// A loopback proxy whose queue of new connections can be full: their opening packets are then dropped and
/// sent again by the client's system. Thread safety: used by one thread only. Lifetime: as long as the
/// context.
class gate {
public:
    /// Precondition: `own` is free. Connections are passed on to `target`.
    gate(boost::asio::io_context& context, const base::endpoint& own, const base::endpoint& target);

    /// Stops accepting and fills the queue.
    [[nodiscard]] boost::asio::awaitable<void> close();
    /// Empties the queue and accepts again.
    void open();

private:
    using socket = boost::asio::ip::tcp::socket;

    boost::asio::awaitable<void> accept();
    static boost::asio::awaitable<void> copy(std::shared_ptr<socket> from, std::shared_ptr<socket> to);

    boost::asio::io_context& context_;
    boost::asio::ip::tcp::endpoint own_;
    boost::asio::ip::tcp::endpoint target_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::vector<std::shared_ptr<socket>> fillers_;
    bool is_open_ = true;
};

} // namespace review
