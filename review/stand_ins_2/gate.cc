#include "gate.hh"

#include <http/sleep.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <array>

namespace review {

namespace asio = boost::asio;

namespace {

constexpr std::size_t most_fillers = 8;
constexpr base::clock::duration filler_interval{30};

asio::ip::tcp::endpoint to_endpoint(const base::endpoint& one) {
    return {asio::ip::make_address(one.address()), one.port()};
}

} // namespace

gate::gate(asio::io_context& context, const base::endpoint& own, const base::endpoint& target)
    : context_{context}, own_{to_endpoint(own)}, target_{to_endpoint(target)}, acceptor_{context} {
    acceptor_.open(asio::ip::tcp::v4());
    acceptor_.set_option(asio::socket_base::reuse_address{true});
    acceptor_.bind(own_);
    // The smallest queue.
    acceptor_.listen(0);
    asio::co_spawn(context_, accept(), asio::detached);
}

asio::awaitable<void> gate::close() {
    is_open_ = false;
    acceptor_.cancel();
    for (std::size_t count = 0; count < most_fillers; ++count) {
        auto filler = std::make_shared<socket>(context_);
        filler->async_connect(own_, [filler](const boost::system::error_code&) {});
        fillers_.push_back(filler);
        co_await http::sleep_for(filler_interval);
    }
}

void gate::open() {
    fillers_.clear();
    is_open_ = true;
    asio::co_spawn(context_, accept(), asio::detached);
}

asio::awaitable<void> gate::accept() {
    while (is_open_) {
        boost::system::error_code failure;
        auto accepted = std::make_shared<socket>(context_);
        co_await acceptor_.async_accept(*accepted, asio::redirect_error(asio::use_awaitable, failure));
        if (failure) {
            continue;
        }
        auto passed_on = std::make_shared<socket>(context_);
        co_await passed_on->async_connect(target_, asio::redirect_error(asio::use_awaitable, failure));
        if (failure) {
            continue;
        }
        asio::co_spawn(context_, copy(accepted, passed_on), asio::detached);
        asio::co_spawn(context_, copy(passed_on, accepted), asio::detached);
    }
}

asio::awaitable<void> gate::copy(std::shared_ptr<socket> from, std::shared_ptr<socket> to) {
    std::array<char, 16'384> bytes{};
    boost::system::error_code failure;
    for (;;) {
        const auto count = co_await from->async_read_some(asio::buffer(bytes),
                                                          asio::redirect_error(asio::use_awaitable, failure));
        if (failure) {
            break;
        }
        co_await asio::async_write(*to, asio::buffer(bytes.data(), count),
                                   asio::redirect_error(asio::use_awaitable, failure));
        if (failure) {
            break;
        }
    }
    boost::system::error_code ignored;
    from->close(ignored);
    to->close(ignored);
}

} // namespace review
