#pragma once

#include <http/limits.hpp>
#include <http/listener.hpp>
#include <http/message.hpp>
#include <http/server_connection.hpp>
#include <http/sleep.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <concepts>
#include <cstddef>
#include <cstdint>
#include <exception>
#include <list>
#include <memory>
#include <utility>

namespace http {

/// A callable that serves the requests of a `server`. `connection` is the number of the connection that the
/// request arrived on; a connection has at most one request in progress.
template <typename Handler>
concept request_handler = requires(Handler& handler, request message, std::size_t connection) {
    { handler(message, connection) } -> std::same_as<boost::asio::awaitable<response>>;
};

/// Returns the response to a request that could not be read because of `reason`.
[[nodiscard]] response error_response(const base::error& reason);

/// What a server does with a new connection while it has as many as it may have.
enum class full_server : std::uint8_t {
    /// Closes the new connection.
    refuses,
    /// Closes the one that has been without a request for longest, or the new one if all are busy. For
    /// addresses where a caller asks briefly and connections of others must not keep it out.
    closes_idle,
};

/// An HTTP/1.1 server with one listener and one handler.
///
/// The handler is called with each request and the number of its connection. When a connection ends, the
/// handler's optional member `on_close` is called with that number. Draining closes the listener and idle
/// connections; busy connections finish their current request. Thread safety: used by its executor's thread
/// only. Lifetime: kept alive by its own coroutines.
template <request_handler Handler>
class server : public std::enable_shared_from_this<server<Handler>> {
public:
    server(boost::asio::any_io_executor executor, listener socket, Handler handler, limits connection_limits,
           tls_context tls, std::size_t max_connections, full_server when_full = full_server::refuses)
        : executor_{std::move(executor)}, listener_{std::move(socket)}, handler_{std::move(handler)},
          limits_{connection_limits}, tls_{std::move(tls)}, max_connections_{max_connections},
          when_full_{when_full} {}

    /// Starts accepting connections. Precondition: owned by a `std::shared_ptr`, and not started yet.
    void start() {
        boost::asio::co_spawn(executor_, accept_connections(this->shared_from_this()), boost::asio::detached);
    }

    /// Makes every further response close its connection. New connections are still accepted.
    void announce_drain() {
        is_draining_ = true;
        for (auto& served : connections_) {
            served.connection_.close_after_next_response();
        }
    }

    /// Stops accepting and closes every connection that has no request in progress and no unread bytes.
    /// Connections in the listener's backlog are accepted first, because closing the listener would reset
    /// them and lose their requests. A new connection that has not served a request yet stays open.
    void drain() {
        announce_drain();
        while (auto waiting = listener_.accept_pending()) {
            add_connection(std::move(*waiting));
        }
        listener_.close();
        for (auto& served : connections_) {
            if (!served.is_busy_ && served.has_served_ && !served.connection_.has_unread_bytes()) {
                served.connection_.close();
            }
        }
    }

    /// Stops accepting and closes every connection, including busy ones.
    void close() {
        drain();
        for (auto& served : connections_) {
            served.connection_.close();
        }
    }

    /// Returns the number of connections with a request in progress.
    [[nodiscard]] std::size_t busy_connections() const noexcept {
        std::size_t busy = 0;
        for (const auto& served : connections_) {
            busy += served.is_busy_ ? 1 : 0;
        }
        return busy;
    }

    /// Returns the number of open connections.
    [[nodiscard]] std::size_t open_connections() const noexcept { return connections_.size(); }

    [[nodiscard]] Handler& handler() noexcept { return handler_; }

private:
    struct served_connection {
        server_connection connection_;
        std::size_t number_ = 0;
        bool is_busy_ = false;
        /// Whether it has served a request. A client that has just connected is about to send its first one.
        bool has_served_ = false;
        /// Whether it was closed to make room for another one.
        bool is_closed_ = false;
    };
    using connection_list = std::list<served_connection>;

    void add_connection(boost::asio::ip::tcp::socket socket) {
        if (open_count() >= max_connections_ && !close_idle_connection()) {
            return;
        }
        server_connection connection{std::move(socket), limits_, tls_};
        connections_.push_back({std::move(connection), ++last_number_});
        const auto position = std::prev(connections_.end());
        boost::asio::co_spawn(executor_, serve_connection(this->shared_from_this(), position),
                              boost::asio::detached);
    }

    /// Returns the number of connections that still have a socket; a closed one ends a little later.
    [[nodiscard]] std::size_t open_count() const noexcept {
        return static_cast<std::size_t>(std::count_if(connections_.begin(), connections_.end(),
                                                      [](const auto& one) { return !one.is_closed_; }));
    }

    /// Closes the connection that has been without a request for longest, if the server may do so.
    bool close_idle_connection() {
        if (when_full_ == full_server::refuses) {
            return false;
        }
        const auto is_idle = [](const auto& one) {
            return !one.is_busy_ && !one.is_closed_;
        };
        const auto found = std::find_if(connections_.begin(), connections_.end(), is_idle);
        if (found == connections_.end()) {
            return false;
        }
        found->is_closed_ = true;
        found->connection_.close();
        return true;
    }

    static boost::asio::awaitable<void> accept_connections(std::shared_ptr<server> self) {
        while (self->listener_.is_open()) {
            auto accepted = co_await self->listener_.accept();
            if (!accepted) {
                // Accepting fails without delay when, for example, no file descriptors are left; the delay
                // keeps this loop from spinning.
                co_await sleep_for(accept_retry_delay);
                continue;
            }
            self->add_connection(std::move(*accepted));
        }
    }

    static boost::asio::awaitable<void> serve_connection(std::shared_ptr<server> self,
                                                         typename connection_list::iterator position) {
        try {
            co_await serve_requests(*self, *position);
        } catch (const std::exception&) {
            // An exception in the handler closes only the connection of its request.
            position->connection_.close();
        }
        if constexpr (requires { self->handler_.on_close(std::size_t{}); }) {
            self->handler_.on_close(position->number_);
        }
        self->connections_.erase(position);
    }

    static boost::asio::awaitable<void> serve_requests(server& self, served_connection& served) {
        bool open = co_await served.connection_.accept_tls();
        while (open) {
            auto message = co_await served.connection_.read();
            if (!message) {
                const auto kind = message.last_reason().kind();
                if (kind == base::error_kind::too_large || kind == base::error_kind::invalid_request) {
                    auto refusal = error_response(message.last_reason());
                    open = co_await served.connection_.write(std::move(refusal));
                }
                break;
            }
            served.is_busy_ = true;
            auto outgoing = co_await self.handler_(std::move(*message), served.number_);
            if (self.is_draining_) {
                served.connection_.close_after_next_response();
            }
            open = co_await served.connection_.write(std::move(outgoing));
            served.is_busy_ = false;
            served.has_served_ = true;
        }
        served.connection_.close();
    }

    static constexpr base::clock::duration accept_retry_delay{20};

    boost::asio::any_io_executor executor_;
    listener listener_;
    Handler handler_;
    limits limits_;
    tls_context tls_;
    std::size_t max_connections_;
    full_server when_full_;
    connection_list connections_;
    std::size_t last_number_ = 0;
    bool is_draining_ = false;
};

} // namespace http
