#pragma once

#include <base/endpoint.hpp>
#include <base/result.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/udp.hpp>

#include <array>
#include <concepts>
#include <cstddef>
#include <string>

namespace daemons {

/// Sends and receives datagrams, which may be lost, duplicated or reordered.
template <typename Transport>
concept datagram_transport = requires(Transport& transport, const base::endpoint& to,
                                      const std::string& bytes) {
    { transport.receive() } -> std::same_as<boost::asio::awaitable<base::result<std::string>>>;
    { transport.send(to, bytes) } -> std::same_as<void>;
    { transport.close() } -> std::same_as<void>;
};

/// Datagrams over one UDP socket. Thread safety: used by the thread of its executor only.
class udp_transport {
public:
    /// Binds a socket to `local`. Errors: `settings_invalid` when the address is not an IP address or is in
    /// use.
    [[nodiscard]] static base::result<udp_transport> open(const boost::asio::any_io_executor& executor,
                                                          const base::endpoint& local);

    /// Waits for the next datagram. Errors: `connection_failed`, also after `close`.
    [[nodiscard]] boost::asio::awaitable<base::result<std::string>> receive();

    /// Sends without waiting; a datagram that the system does not accept immediately is lost.
    void send(const base::endpoint& to, const std::string& bytes);

    /// Ends a pending `receive`.
    void close() noexcept;

private:
    explicit udp_transport(boost::asio::ip::udp::socket socket) : socket_{std::move(socket)} {}

    // Larger than any valid datagram, so that a longer one is rejected as invalid instead of being truncated
    // to a valid length.
    static constexpr std::size_t input_bytes = 2048;

    boost::asio::ip::udp::socket socket_;
    std::array<char, input_bytes> input_{};
};

static_assert(datagram_transport<udp_transport>);

} // namespace daemons
