#include <stand_ins/session_platform/store_link.hpp>

#include <base/clock.hpp>
#include <http/sleep.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>
#include <list>
#include <utility>

namespace stand_ins {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr std::size_t chunk_bytes = 16'384;
constexpr std::int64_t ms_per_second = 1000;

/// Both sides of a forwarded connection.
struct forwarded_connection {
    tcp::socket daemon_;
    tcp::socket store_;

    void close() {
        boost::system::error_code ignored;
        daemon_.close(ignored);
        store_.close(ignored);
    }
};

using shared_connection = std::shared_ptr<forwarded_connection>;

tcp::endpoint endpoint_of(const base::endpoint& address) {
    return {asio::ip::make_address(address.address()), address.port()};
}

} // namespace

struct store_link::state {
    asio::any_io_executor executor_;
    base::endpoint store_;
    std::optional<tcp::acceptor> acceptor_;
    std::list<std::weak_ptr<forwarded_connection>> connections_;
    bool is_rejecting_ = false;
    std::optional<std::size_t> bytes_per_second_;
    /// When the link has passed the responses so far.
    base::clock::time_point free_at_{};

    /// Waits until the link has passed `size` more bytes of responses.
    asio::awaitable<void> pass(std::size_t size) {
        if (!bytes_per_second_) {
            co_return;
        }
        const auto now = base::clock::now();
        const auto duration =
            static_cast<std::int64_t>(size) * ms_per_second / static_cast<std::int64_t>(*bytes_per_second_);
        free_at_ = std::max(free_at_, now) + base::clock::duration{duration};
        co_await http::sleep_for(free_at_ - now);
    }

    static asio::awaitable<void> forward(std::shared_ptr<state> self, shared_connection connection,
                                         tcp::socket& from, tcp::socket& to, bool is_limited) {
        std::array<char, chunk_bytes> bytes{};
        boost::system::error_code failure;
        while (!failure) {
            const auto count = co_await from.async_read_some(
                asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, failure));
            if (failure) {
                break;
            }
            if (is_limited) {
                co_await self->pass(count);
            }
            co_await asio::async_write(to, asio::buffer(bytes, count),
                                       asio::redirect_error(asio::use_awaitable, failure));
        }
        connection->close();
    }

    static asio::awaitable<void> accept(std::shared_ptr<state> self) {
        for (;;) {
            auto accepted = co_await self->acceptor_->async_accept(asio::use_awaitable);
            if (self->is_rejecting_) {
                continue;
            }
            auto connection = std::make_shared<forwarded_connection>(
                forwarded_connection{std::move(accepted), tcp::socket{self->executor_}});
            boost::system::error_code failure;
            co_await connection->store_.async_connect(endpoint_of(self->store_),
                                                      asio::redirect_error(asio::use_awaitable, failure));
            if (failure) {
                continue;
            }
            self->connections_.remove_if([](const auto& known) { return known.expired(); });
            self->connections_.push_back(connection);
            asio::co_spawn(self->executor_,
                           forward(self, connection, connection->daemon_, connection->store_, false),
                           asio::detached);
            asio::co_spawn(self->executor_,
                           forward(self, connection, connection->store_, connection->daemon_, true),
                           asio::detached);
        }
    }
};

store_link::store_link(asio::any_io_executor executor, base::endpoint store)
    : state_{std::make_shared<state>()} {
    state_->executor_ = std::move(executor);
    state_->store_ = std::move(store);
}

bool store_link::listen(const base::endpoint& local) {
    state_->acceptor_.emplace(state_->executor_);
    auto& acceptor = *state_->acceptor_;
    const auto address = endpoint_of(local);
    boost::system::error_code failure;
    acceptor.open(address.protocol(), failure);
    acceptor.set_option(tcp::acceptor::reuse_address{true}, failure);
    acceptor.bind(address, failure);
    if (failure) {
        return false;
    }
    acceptor.listen(asio::socket_base::max_listen_connections, failure);
    asio::co_spawn(state_->executor_, state::accept(state_), asio::detached);
    return !failure;
}

void store_link::set_rejecting(bool is_rejecting) {
    state_->is_rejecting_ = is_rejecting;
    if (!is_rejecting) {
        return;
    }
    for (const auto& known : state_->connections_) {
        if (const auto connection = known.lock()) {
            connection->close();
        }
    }
}

void store_link::set_bandwidth(std::optional<std::size_t> bytes_per_second) {
    state_->bytes_per_second_ = bytes_per_second;
}

} // namespace stand_ins
