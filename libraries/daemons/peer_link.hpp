#pragma once

#include <base/clock.hpp>
#include <base/endpoint.hpp>
#include <base/result.hpp>
#include <daemons/peer_connection.hpp>
#include <daemons/peer_limits.hpp>
#include <daemons/reconnect_backoff.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <memory>
#include <string_view>
#include <vector>

namespace daemons {

/// The connection to one peer and the backoff between attempts to connect.
///
/// Thread safety: used by one thread only. Lifetime: kept alive by an attempt to connect.
class peer_link : public std::enable_shared_from_this<peer_link> {
public:
    peer_link(boost::asio::any_io_executor executor, base::endpoint peer, peer_limits limits)
        : executor_{std::move(executor)}, peer_{std::move(peer)}, limits_{limits} {}

    /// Returns the connection, connecting first if there is none. All callers share one attempt. `entropy` is
    /// the jitter of the backoff after a failure. Errors: `connection_failed`.
    [[nodiscard]] boost::asio::awaitable<base::result<std::shared_ptr<peer_connection>>>
    acquire(base::clock::time_point deadline, std::uint64_t entropy);

    /// Returns the throttle notices received on the current connection, or null without a usable one.
    [[nodiscard]] const throttle_table* throttles() const noexcept;
    /// Returns whether the link has no connection, attempt or backoff, so that it can be removed.
    [[nodiscard]] bool is_idle(base::clock::time_point now) const;
    /// Closes the connection; no new one is made.
    void close();

private:
    bool has_usable() const { return connection_ != nullptr && connection_->is_usable(); }
    static boost::asio::awaitable<void> connect(std::shared_ptr<peer_link> self, std::uint64_t entropy);

    boost::asio::any_io_executor executor_;
    base::endpoint peer_;
    peer_limits limits_;
    std::shared_ptr<peer_connection> connection_;
    reconnect_backoff backoff_;
    bool connecting_ = false;
    bool closed_ = false;
    std::vector<std::shared_ptr<boost::asio::steady_timer>> waiting_;
};

} // namespace daemons
