#pragma once

#include <base/endpoint.hpp>
#include <http/listener.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <memory>
#include <vector>

namespace stand_ins {

/// What a link does to the connections that run over it.
enum class link_fault : std::uint8_t {
    none,
    /// Bytes arrive later.
    delayed,
    /// Open connections are reset, and new ones as soon as they are open.
    reset,
    /// Bytes arrive in neither direction; no connection ends.
    silent,
    /// Bytes arrive at the target only.
    silent_answers,
};

/// A loopback proxy that forwards connections to one target and harms them on demand. Thread safety: used by
/// the thread of its executor only. Lifetime: held by a `std::shared_ptr`.
class fault_link : public std::enable_shared_from_this<fault_link> {
public:
    fault_link(boost::asio::any_io_executor executor, base::endpoint target);

    /// Starts to forward. Returns whether the address was free.
    [[nodiscard]] bool listen(const base::endpoint& local);
    /// Connections that were open during `silent` stay silent for good, as if a device in between forgot
    /// them.
    void set_fault(link_fault fault);
    /// Resets the open connections and each new one from now on, or no longer, whatever the fault is.
    void set_rejecting(bool is_rejecting);
    void close_connections();

private:
    struct connection;
    using socket = boost::asio::ip::tcp::socket;
    enum class direction : std::uint8_t { to_target, to_source };

    boost::asio::awaitable<void> accept(std::shared_ptr<fault_link> self);
    boost::asio::awaitable<void> open(std::shared_ptr<fault_link> self, socket source);
    boost::asio::awaitable<void> forward(std::shared_ptr<fault_link> self,
                                         std::shared_ptr<connection> through, direction way);
    [[nodiscard]] bool is_blocked(const connection& through, direction way) const noexcept;

    boost::asio::any_io_executor executor_;
    base::endpoint target_;
    std::shared_ptr<http::listener> listener_;
    link_fault fault_ = link_fault::none;
    bool is_rejecting_ = false;
    std::vector<std::weak_ptr<connection>> connections_;
};

} // namespace stand_ins
