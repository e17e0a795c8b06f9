#pragma once

#include <http/limits.hpp>
#include <http/listener.hpp>
#include <http/message.hpp>
#include <http/server_connection.hpp>
#include <http/sleep.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <concepts>
#include <cstddef>
#include <exception>
#include <list>
#include <memory>
#include <utility>

namespace http {

/// Answers one request at a time for a connection.
template <typename Handler>
concept request_handler = requires(Handler& handler, request message, std::size_t connection) {
    { handler(message, connection) } -> std::same_as<boost::asio::awaitable<response>>;
};

/// Returns the error response for a request that could not be read.
[[nodiscard]] response response_for(const base::error& reason);

/// Serves HTTP/1.1 on one listener with one handler.
///
/// The handler gets each request with the number of its connection. When a connection ends, `on_close` (if
/// the handler has it) gets that number. Draining stops the listener, closes idle connections and lets busy
/// ones finish the request that they are on. Thread safety: used by the thread of its executor only.
/// Lifetime: kept alive by its own coroutines.
template <request_handler Handler>
class server : public std::enable_shared_from_this<server<Handler>> {
public:
    server(boost::asio::any_io_executor executor, listener socket, Handler handler, limits bounds,
           tls_context tls, std::size_t most_connections)
        : executor_{std::move(executor)}, listener_{std::move(socket)}, handler_{std::move(handler)},
          limits_{bounds}, tls_{std::move(tls)}, most_connections_{most_connections} {}

    /// Starts to accept. Precondition: held by a `std::shared_ptr`; called once.
    void start() {
        boost::asio::co_spawn(executor_, accept_connections(this->shared_from_this()), boost::asio::detached);
    }

    /// Announces the end: every answer from now on closes its connection, new connections are still served.
    void announce_drain() {
        draining_ = true;
        for (auto& one : connections_) {
            one.connection_.close_after_next_response();
        }
    }

    /// Stops accepting and closes every connection on which no request is being answered or has arrived.
    /// Connections that wait in the listener's backlog are taken over first, because closing it would cut off
    /// their requests.
    void drain() {
        announce_drain();
        while (auto waiting = listener_.accept_pending()) {
            take(std::move(*waiting));
        }
        listener_.close();
        for (auto& one : connections_) {
            if (!one.busy_ && one.served_before_ && !one.connection_.has_unread_bytes()) {
                one.connection_.close();
            }
        }
    }

    /// Closes every connection at once.
    void close() {
        drain();
        for (auto& one : connections_) {
            one.connection_.close();
        }
    }

    /// Returns how many connections are answering a request.
    [[nodiscard]] std::size_t busy_connections() const noexcept {
        std::size_t busy = 0;
        for (const auto& one : connections_) {
            busy += one.busy_ ? 1 : 0;
        }
        return busy;
    }

    /// Returns how many connections are open.
    [[nodiscard]] std::size_t open_connections() const noexcept { return connections_.size(); }

    [[nodiscard]] Handler& handler() noexcept { return handler_; }

private:
    struct served_connection {
        server_connection connection_;
        std::size_t number_ = 0;
        bool busy_ = false;
        /// Whether a request was answered on it. One that has just connected is about to send its first.
        bool served_before_ = false;
    };
    using connection_list = std::list<served_connection>;

    void take(boost::asio::ip::tcp::socket socket) {
        if (connections_.size() >= most_connections_) {
            return;
        }
        server_connection connection{std::move(socket), limits_, tls_};
        connections_.push_back({std::move(connection), ++last_number_});
        const auto position = std::prev(connections_.end());
        boost::asio::co_spawn(executor_, serve_connection(this->shared_from_this(), position),
                              boost::asio::detached);
    }

    static boost::asio::awaitable<void> accept_connections(std::shared_ptr<server> self) {
        while (self->listener_.is_open()) {
            auto accepted = co_await self->listener_.accept();
            if (!accepted) {
                // Out of file descriptors, for example: a pause keeps the accept loop from spinning.
                co_await sleep_for(accept_retry_delay);
                continue;
            }
            self->take(std::move(*accepted));
        }
    }

    static boost::asio::awaitable<void> serve_connection(std::shared_ptr<server> self,
                                                         typename connection_list::iterator position) {
        try {
            co_await serve_requests(*self, *position);
        } catch (const std::exception&) {
            // A handler that throws must not take other connections with it; its caller sees a closed
            // connection.
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
                    auto refusal = response_for(message.last_reason());
                    open = co_await served.connection_.write(std::move(refusal));
                }
                break;
            }
            served.busy_ = true;
            auto answer = co_await self.handler_(std::move(*message), served.number_);
            if (self.draining_) {
                served.connection_.close_after_next_response();
            }
            open = co_await served.connection_.write(std::move(answer));
            served.busy_ = false;
            served.served_before_ = true;
        }
        served.connection_.close();
    }

    static constexpr base::clock::duration accept_retry_delay{20};

    boost::asio::any_io_executor executor_;
    listener listener_;
    Handler handler_;
    limits limits_;
    tls_context tls_;
    std::size_t most_connections_;
    connection_list connections_;
    std::size_t last_number_ = 0;
    bool draining_ = false;
};

} // namespace http
