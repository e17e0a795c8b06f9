#include <daemons/udp_transport.hpp>

#include <boost/asio/buffer.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace daemons {

namespace asio = boost::asio;

base::result<udp_transport> udp_transport::open(const asio::any_io_executor& executor,
                                                const base::endpoint& local) {
    boost::system::error_code failure;
    const auto address = asio::ip::make_address(local.address(), failure);
    asio::ip::udp::socket socket{executor};
    if (!failure) {
        socket.open(address.is_v6() ? asio::ip::udp::v6() : asio::ip::udp::v4(), failure);
    }
    if (!failure) {
        socket.bind({address, local.port()}, failure);
    }
    if (!failure) {
        socket.non_blocking(true, failure);
    }
    if (failure) {
        return base::error{base::error_kind::settings_invalid,
                           "cannot bind UDP to " + local.to_string() + ": " + failure.message()};
    }
    return udp_transport{std::move(socket)};
}

asio::awaitable<base::result<std::string>> udp_transport::receive() {
    boost::system::error_code failure;
    asio::ip::udp::endpoint sender;
    const auto buffer = asio::buffer(input_);
    const auto count = co_await socket_.async_receive_from(
        buffer, sender, asio::redirect_error(asio::use_awaitable, failure));
    if (failure) {
        co_return base::error{base::error_kind::connection_failed, failure.message()};
    }
    co_return std::string{input_.data(), count};
}

void udp_transport::send(const base::endpoint& to, const std::string& bytes) {
    boost::system::error_code failure;
    const auto address = asio::ip::make_address(to.address(), failure);
    if (!failure) {
        socket_.send_to(asio::buffer(bytes), {address, to.port()}, 0, failure);
    }
}

void udp_transport::close() noexcept {
    boost::system::error_code ignored;
    socket_.close(ignored);
}

} // namespace daemons
