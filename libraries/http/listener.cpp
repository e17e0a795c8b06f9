#include <http/listener.hpp>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <sys/socket.h>

namespace http {

namespace asio = boost::asio;

namespace {

using reuse_port = asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;

base::error cannot_listen(const base::endpoint& local, const boost::system::error_code& failure) {
    return base::error{base::error_kind::settings_invalid,
                       "cannot listen on " + local.to_string() + ": " + failure.message()};
}

} // namespace

base::result<listener> listener::open(const asio::any_io_executor& executor, const base::endpoint& local) {
    boost::system::error_code failure;
    const auto address = asio::ip::make_address(local.address(), failure);
    if (failure) {
        return cannot_listen(local, failure);
    }
    const asio::ip::tcp::endpoint target{address, local.port()};
    asio::ip::tcp::acceptor acceptor{executor};
    acceptor.open(target.protocol(), failure);
    if (!failure) {
        acceptor.set_option(asio::socket_base::reuse_address{true}, failure);
    }
    if (!failure) {
        acceptor.set_option(reuse_port{true}, failure);
    }
    if (!failure) {
        acceptor.bind(target, failure);
    }
    if (!failure) {
        acceptor.listen(asio::socket_base::max_listen_connections, failure);
    }
    if (failure) {
        return cannot_listen(local, failure);
    }
    return listener{std::move(acceptor)};
}

asio::awaitable<base::result<asio::ip::tcp::socket>> listener::accept() {
    boost::system::error_code failure;
    auto socket = co_await acceptor_.async_accept(asio::redirect_error(asio::use_awaitable, failure));
    if (!failure) {
        socket.set_option(asio::ip::tcp::no_delay{true}, failure);
    }
    if (failure) {
        const bool has_no_descriptor = failure == asio::error::no_descriptors ||
                                       failure == boost::system::errc::too_many_files_open_in_system;
        co_return base::error{has_no_descriptor ? base::error_kind::too_large
                                                : base::error_kind::connection_failed,
                              failure.message()};
    }
    co_return std::move(socket);
}

void listener::limit_socket_buffers(int bytes) {
    boost::system::error_code ignored;
    // Accepted sockets inherit the sizes of the listening one.
    acceptor_.set_option(asio::socket_base::receive_buffer_size{bytes}, ignored);
    acceptor_.set_option(asio::socket_base::send_buffer_size{bytes}, ignored);
}

std::optional<asio::ip::tcp::socket> listener::accept_pending() {
    boost::system::error_code failure;
    if (!acceptor_.is_open()) {
        return std::nullopt;
    }
    acceptor_.non_blocking(true, failure);
    asio::ip::tcp::socket socket{acceptor_.get_executor()};
    acceptor_.accept(socket, failure);
    if (failure) {
        return std::nullopt;
    }
    socket.set_option(asio::ip::tcp::no_delay{true}, failure);
    return socket;
}

void listener::close() noexcept {
    boost::system::error_code ignored;
    acceptor_.close(ignored);
}

} // namespace http
