#pragma once

#include <base/request.hpp>
#include <base/response.hpp>
#include <daemons/configuration_offer.hpp>
#include <daemons/frame.hpp>
#include <daemons/frame_stream.hpp>
#include <daemons/peer_limits.hpp>
#include <daemons/peer_responses.hpp>
#include <daemons/suspicion_check.hpp>
#include <daemons/throttle_notice.hpp>
#include <http/listener.hpp>
#include <http/sleep.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <exception>
#include <list>
#include <memory>
#include <optional>
#include <utility>

namespace daemons {

/// Handles the requests of other daemons for configurations. Each call may suspend; many run concurrently.
template <typename Handler>
concept peer_handler = requires(Handler& handler, configuration_fetch fetch) {
    { handler.fetch_configuration(fetch) } -> std::same_as<boost::asio::awaitable<configuration_offer>>;
};

/// Also handles requests of callers that other daemons forward, and their suspicions.
template <typename Handler>
concept forwarding_peer_handler = peer_handler<Handler> &&
    requires(Handler& handler, base::request message, suspicion_check suspicion) {
    { handler.forward(std::move(message)) } -> std::same_as<boost::asio::awaitable<base::response>>;
    { handler.check_suspicion(std::move(suspicion)) } -> std::same_as<boost::asio::awaitable<reachability>>;
};

/// Serves requests from other daemons on one listener, with many concurrent requests per connection.
///
/// A request beyond the limits or during a drain is refused without being run. An invalid frame closes only
/// its own connection. Thread safety: used by the thread of its executor only; each thread has its own.
/// Lifetime: kept alive by its own coroutines.
template <peer_handler Handler>
class peer_server : public std::enable_shared_from_this<peer_server<Handler>> {
public:
    peer_server(boost::asio::any_io_executor executor, http::listener socket, Handler handler,
                peer_limits limits)
        : executor_{std::move(executor)}, listener_{std::move(socket)}, handler_{std::move(handler)},
          limits_{limits} {}

    /// Starts to accept connections. Precondition: held by a `std::shared_ptr`; called once.
    void start() {
        boost::asio::co_spawn(executor_, accept_connections(this->shared_from_this()), boost::asio::detached);
    }

    /// Stops accepting connections, tells every client to use another peer and refuses further requests.
    /// Requests in flight are finished; the drain is complete when `has_work` returns false.
    void drain() {
        draining_ = true;
        listener_.close();
        for (const auto& one : connections_) {
            one->stream_->send(frame{frame_type::goodbye, 0, {}});
        }
    }

    /// Closes every connection at once.
    void close() {
        draining_ = true;
        listener_.close();
        for (const auto& one : connections_) {
            one->stream_->close();
        }
    }

    /// Sends a throttle notice to every connected daemon, unless too many bytes already wait to be written to
    /// it. Connections made later do not receive it.
    void send_throttle_notice(const throttle_notice& notice) {
        const auto message = throttle_frame(notice);
        for (const auto& one : connections_) {
            if (one->stream_->unsent_bytes() <= limits_.max_queued_bytes_) {
                one->stream_->send(message);
            }
        }
    }

    /// Returns the number of requests that are being handled.
    [[nodiscard]] std::size_t requests_in_flight() const noexcept { return in_flight_; }

    /// Returns whether a request is being handled or a response is not yet written.
    [[nodiscard]] bool has_work() const noexcept {
        bool unsent = false;
        for (const auto& one : connections_) {
            unsent = unsent || (one->stream_->is_open() && one->stream_->unsent_bytes() > 0);
        }
        return unsent || in_flight_ > 0;
    }

    [[nodiscard]] std::size_t open_connections() const noexcept { return connections_.size(); }
    [[nodiscard]] Handler& handler() noexcept { return handler_; }

private:
    struct served_connection {
        std::shared_ptr<frame_stream> stream_;
        std::size_t in_flight_ = 0;
    };
    using shared_connection = std::shared_ptr<served_connection>;

    // Counts a request as in flight for as long as its coroutine runs.
    class counted_request {
    public:
        counted_request(std::shared_ptr<peer_server> owner, shared_connection connection)
            : owner_{std::move(owner)}, connection_{std::move(connection)} {
            ++owner_->in_flight_;
            ++connection_->in_flight_;
        }
        ~counted_request() {
            --owner_->in_flight_;
            --connection_->in_flight_;
        }
        Handler& handler() { return owner_->handler_; }
        void send(const frame& message) { connection_->stream_->send(message); }

        counted_request(const counted_request&) = delete;
        counted_request& operator=(const counted_request&) = delete;
        counted_request(counted_request&&) = delete;
        counted_request& operator=(counted_request&&) = delete;

    private:
        std::shared_ptr<peer_server> owner_;
        shared_connection connection_;
    };

    static boost::asio::awaitable<void> accept_connections(std::shared_ptr<peer_server> self) {
        while (self->listener_.is_open()) {
            auto accepted = co_await self->listener_.accept();
            if (!accepted) {
                // A delay keeps the loop from spinning while `accept` fails, for example for lack of file
                // descriptors.
                co_await http::sleep_for(accept_retry_delay);
                continue;
            }
            if (self->draining_) {
                continue;
            }
            auto stream = std::make_shared<frame_stream>(std::move(*accepted));
            const auto connection = std::make_shared<served_connection>();
            connection->stream_ = std::move(stream);
            self->connections_.push_back(connection);
            boost::asio::co_spawn(self->executor_, serve_connection(self, connection), boost::asio::detached);
            boost::asio::co_spawn(self->executor_, close_when_silent(connection->stream_, self->limits_),
                                  boost::asio::detached);
        }
    }

    static boost::asio::awaitable<void> serve_connection(std::shared_ptr<peer_server> self,
                                                         shared_connection connection) {
        const auto stream = connection->stream_;
        while (stream->is_open()) {
            auto request = co_await stream->read();
            if (!request) {
                if (request.last_reason().kind() == base::error_kind::frame_invalid) {
                    report_invalid_frame(request.last_reason());
                }
                break;
            }
            const auto failure = self->handle_frame(connection, *request);
            if (failure) {
                report_invalid_frame(*failure);
                break;
            }
        }
        stream->close();
        self->connections_.remove(connection);
    }

    // Closes the connection once it has received nothing for `server_idle_timeout_`. An idle client sends
    // heartbeats, so one that sends nothing is unreachable or stopped.
    static boost::asio::awaitable<void> close_when_silent(std::shared_ptr<frame_stream> stream,
                                                          peer_limits limits) {
        while (stream->is_open()) {
            const auto left = stream->last_received() + limits.server_idle_timeout_ - base::clock::now();
            if (left.count() <= 0) {
                stream->close();
                co_return;
            }
            co_await http::sleep_for(left);
        }
    }

    // Returns the reason to close the connection, or nothing.
    std::optional<base::error> handle_frame(const shared_connection& connection, const frame& request) {
        if constexpr (forwarding_peer_handler<Handler>) {
            if (request.type() == frame_type::request) {
                return serve_request(connection, request, read_request(request),
                                     [](Handler& handler, base::request message) {
                                         return handler.forward(std::move(message));
                                     });
            }
            if (request.type() == frame_type::suspicion_check) {
                return serve_request(connection, request, read_suspicion_check(request),
                                     [](Handler& handler, suspicion_check check) {
                                         return handler.check_suspicion(std::move(check));
                                     });
            }
        }
        switch (request.type()) {
        case frame_type::heartbeat:
            // Anything that waits to be written serves as the response to a heartbeat.
            if (connection->stream_->unsent_bytes() == 0) {
                connection->stream_->send(request);
            }
            return std::nullopt;
        case frame_type::configuration_fetch:
            return serve_request(connection, request, read_configuration_fetch(request),
                                 [](Handler& handler, configuration_fetch fetch) {
                                     return handler.fetch_configuration(fetch);
                                 });
        default:
            return base::error{base::error_kind::frame_invalid,
                               "a client sent a frame that is no request which this daemon serves"};
        }
    }

    template <typename Message, typename Call>
    std::optional<base::error> serve_request(const shared_connection& connection, const frame& request,
                                             base::result<Message> message, Call call) {
        if (!message) {
            return message.last_reason();
        }
        if (connection->stream_->unsent_bytes() > 2 * limits_.max_queued_bytes_) {
            return base::error{base::error_kind::overloaded,
                               "a peer sends requests without reading the responses"};
        }
        if (draining_) {
            refuse_request(connection, request, base::error_kind::shutting_down, "the daemon is draining");
        } else if (connection->in_flight_ >= limits_.max_in_flight_ ||
                   connection->stream_->unsent_bytes() > limits_.max_queued_bytes_) {
            refuse_request(connection, request, base::error_kind::overloaded,
                           "too many requests in flight on one connection between daemons");
        } else {
            // Counted before the coroutine is spawned, which may start only after further frames were
            // handled.
            auto counted = std::make_unique<counted_request>(this->shared_from_this(), connection);
            boost::asio::co_spawn(executor_,
                                  run_request(std::move(counted), frame{request.type(), request.id(), {}},
                                              std::move(*message), call),
                                  boost::asio::detached);
        }
        return std::nullopt;
    }

    void refuse_request(const shared_connection& connection, const frame& request, base::error_kind kind,
                        const char* reason) {
        connection->stream_->send(refusal_frame(request, base::error{kind, reason}));
    }

    template <typename Message, typename Call>
    static boost::asio::awaitable<void> run_request(std::unique_ptr<counted_request> counted, frame request,
                                                    Message message, Call call) {
        std::optional<frame> response_message;
        try {
            const auto response = co_await call(counted->handler(), std::move(message));
            response_message = response_frame(request.id(), response);
        } catch (const std::exception& failure) {
            response_message = response_after_exception(request, failure.what());
        }
        counted->send(*response_message);
    }

    static constexpr base::clock::duration accept_retry_delay{20};

    boost::asio::any_io_executor executor_;
    http::listener listener_;
    Handler handler_;
    peer_limits limits_;
    std::list<shared_connection> connections_;
    std::size_t in_flight_ = 0;
    bool draining_ = false;
};

} // namespace daemons
