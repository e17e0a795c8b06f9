#include <daemons/peer_connection.hpp>

#include <daemons/events.hpp>
#include <daemons/message_codec.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace daemons {

namespace asio = boost::asio;

namespace {

base::error cannot_connect(const base::endpoint& peer, const std::string& reason) {
    return base::error{base::error_kind::connection_failed,
                       "cannot connect to peer " + peer.to_string() + ": " + reason};
}

} // namespace

/// Registers a call for as long as its coroutine waits, so that a late response is discarded.
class peer_connection::call_registration {
public:
    call_registration(peer_connection& owner, std::uint64_t id, call& waiting) : owner_{owner}, id_{id} {
        if (owner_.calls_.empty()) {
            owner_.activity_.last_used_ = base::clock::now();
        }
        owner_.calls_.emplace(id, &waiting);
        owner_.activity_.pending_requests_ = owner_.calls_.size();
    }
    ~call_registration() {
        owner_.calls_.erase(id_);
        owner_.activity_.pending_requests_ = owner_.calls_.size();
        if (owner_.calls_.empty()) {
            owner_.activity_.last_used_ = base::clock::now();
            if (owner_.retired_) {
                owner_.close("the connection accepts no new requests");
            }
        }
    }
    call_registration(const call_registration&) = delete;
    call_registration& operator=(const call_registration&) = delete;
    call_registration(call_registration&&) = delete;
    call_registration& operator=(call_registration&&) = delete;

private:
    peer_connection& owner_;
    std::uint64_t id_;
};

asio::awaitable<base::result<std::shared_ptr<peer_connection>>> peer_connection::connect(base::endpoint peer,
                                                                                         peer_limits limits) {
    const auto executor = co_await asio::this_coro::executor;
    boost::system::error_code failure;
    const auto address = asio::ip::make_address(peer.address(), failure);
    if (failure) {
        co_return cannot_connect(peer, failure.message());
    }
    const auto socket = std::make_shared<asio::ip::tcp::socket>(executor);
    asio::steady_timer timer{executor, limits.connect_timeout_};
    timer.async_wait([socket](const boost::system::error_code& cancelled) {
        if (!cancelled) {
            boost::system::error_code ignored;
            socket->close(ignored);
        }
    });
    const asio::ip::tcp::endpoint target{address, peer.port()};
    co_await socket->async_connect(target, asio::redirect_error(asio::use_awaitable, failure));
    // `cancel` returns 0 when the timer has expired, even if its handler has not run yet and would close the
    // socket later.
    const bool in_time = timer.cancel() != 0;
    if (!failure && in_time) {
        socket->set_option(asio::ip::tcp::no_delay{true}, failure);
    }
    if (failure || !in_time) {
        co_return cannot_connect(peer, in_time ? failure.message() : "timed out");
    }
    auto created = std::make_shared<peer_connection>(std::move(peer), limits, std::move(*socket));
    created->start();
    co_return created;
}

peer_connection::peer_connection(base::endpoint peer, peer_limits limits, asio::ip::tcp::socket socket)
    : peer_{std::move(peer)}, limits_{limits}, stream_{std::make_shared<frame_stream>(std::move(socket))},
      health_timer_{stream_->executor()} {
    activity_.last_received_ = base::clock::now();
    activity_.last_used_ = activity_.last_received_;
}

void peer_connection::start() {
    asio::co_spawn(stream_->executor(), read_responses(shared_from_this()), asio::detached);
    asio::co_spawn(stream_->executor(), watch_health(shared_from_this()), asio::detached);
}

asio::awaitable<base::result<frame>> peer_connection::send_request(frame_type type, std::string body,
                                                                   base::clock::duration timeout) {
    const auto self = shared_from_this();
    if (!is_usable()) {
        co_return cannot_connect(peer_, "the connection was closed");
    }
    if (body.size() > max_body_bytes) {
        co_return base::error{base::error_kind::too_large, "the request exceeds the maximum frame size"};
    }
    if (calls_.size() >= limits_.max_in_flight_ || stream_->unsent_bytes() > limits_.max_queued_bytes_) {
        co_return base::error{base::error_kind::overloaded,
                              "too many requests to peer " + peer_.to_string() + " are pending"};
    }
    const auto id = ++last_id_;
    call waiting{stream_->executor()};
    const call_registration registration{*this, id, waiting};
    const frame request{type, id, std::move(body)};
    const auto requested_at = base::clock::now();
    stream_->send(request);
    if (calls_.size() == 1) {
        // Checks again now: the interval of an idle connection is too long for one with a pending request.
        health_timer_.cancel();
    }
    waiting.timer_.expires_after(timeout);
    boost::system::error_code ignored;
    co_await waiting.timer_.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    if (waiting.response_) {
        co_return std::move(*waiting.response_);
    }
    if (!stream_->is_open()) {
        co_return fail_request(id, close_reason_);
    }
    if (stream_->last_received() < requested_at && timeout >= limits_.busy_heartbeat_interval_) {
        retire();
    }
    co_return fail_request(id, "no response within the timeout");
}

base::error peer_connection::fail_request(std::uint64_t id, std::string_view what) {
    const bool unsent = stream_->withdraw(id);
    std::string message =
        unsent ? "the request was not sent to peer " : "no response was received from peer ";
    message.append(peer_.to_string()).append(": ").append(what);
    return base::error{unsent ? base::error_kind::connection_failed : base::error_kind::answer_lost,
                       std::move(message)};
}

asio::awaitable<void> peer_connection::read_responses(std::shared_ptr<peer_connection> self) {
    while (self->stream_->is_open()) {
        auto message = co_await self->stream_->read();
        if (!message) {
            if (message.last_reason().kind() == base::error_kind::frame_invalid) {
                base::log_event(events::peer_frame_invalid, {{"peer", self->peer_.to_string()},
                                                             {"reason", message.last_reason().message()}});
            }
            self->close(message.last_reason().message());
            co_return;
        }
        self->activity_.last_received_ = self->stream_->last_received();
        self->activity_.heartbeat_sent_.reset();
        const auto type = static_cast<int>(message->type());
        if (!self->handle_frame(std::move(*message))) {
            base::log_event(events::peer_frame_invalid,
                            {{"peer", self->peer_.to_string()},
                             {"reason", "a server does not send frames of type " + std::to_string(type)}});
            self->close("received a frame of the wrong type");
            co_return;
        }
    }
}

bool peer_connection::handle_frame(frame message) {
    switch (message.type()) {
    case frame_type::heartbeat:
        return true;
    case frame_type::goodbye:
        retire();
        return true;
    case frame_type::throttle:
        return receive_throttle_notice(message.body());
    case frame_type::response:
    case frame_type::suspicion_verdict:
    case frame_type::configuration_offer:
    case frame_type::failure: {
        const auto found = calls_.find(message.id());
        // A late response is discarded; ids are never reused.
        if (found != calls_.end() && !found->second->response_) {
            found->second->response_.emplace(std::move(message));
            found->second->timer_.cancel();
        }
        return true;
    }
    case frame_type::request:
    case frame_type::suspicion_check:
    case frame_type::configuration_fetch:
        return false;
    }
    return false;
}

bool peer_connection::receive_throttle_notice(const std::string& body) {
    const auto notice = decode_message<throttle_notice>(body);
    if (!notice) {
        return false;
    }
    throttles_ = throttles_.with(std::span{&*notice, 1}, base::clock::now());
    return true;
}

asio::awaitable<void> peer_connection::watch_health(std::shared_ptr<peer_connection> self) {
    while (self->stream_->is_open()) {
        const auto now = base::clock::now();
        auto& activity = self->activity_;
        activity.last_received_ = self->stream_->last_received();
        // Bytes of an incomplete frame also show that the peer is alive.
        if (activity.heartbeat_sent_ && activity.last_received_ > *activity.heartbeat_sent_) {
            activity.heartbeat_sent_.reset();
        }
        const auto decision = decide_health(activity, self->limits_, now);
        self->act(decision.action_);
        if (!self->stream_->is_open()) {
            co_return;
        }
        self->health_timer_.expires_after(std::max(decision.next_check_ - now, base::clock::duration{1}));
        boost::system::error_code ignored;
        co_await self->health_timer_.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

void peer_connection::act(health_action action) {
    switch (action) {
    case health_action::none:
        break;
    case health_action::send_heartbeat:
        activity_.heartbeat_sent_ = base::clock::now();
        stream_->send(frame{frame_type::heartbeat, 0, {}});
        break;
    case health_action::close_silent:
        base::log_event(events::peer_silent, {{"peer", peer_.to_string()}});
        close("the peer did not respond to a heartbeat");
        break;
    case health_action::close_unused:
        close("the connection was unused");
        break;
    }
}

void peer_connection::retire() {
    retired_ = true;
    if (calls_.empty()) {
        close("the connection accepts no new requests");
    }
}

void peer_connection::close(std::string_view reason) {
    if (close_reason_.empty()) {
        close_reason_ = reason;
    }
    stream_->close();
    health_timer_.cancel();
    for (const auto& [id, waiting] : calls_) {
        waiting->timer_.cancel();
    }
}

} // namespace daemons
