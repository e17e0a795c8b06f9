#include <daemons/peer_link.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace daemons {

namespace asio = boost::asio;

asio::awaitable<base::result<std::shared_ptr<peer_connection>>>
peer_link::acquire(base::clock::time_point deadline, std::uint64_t entropy) {
    const auto self = shared_from_this();
    if (!has_usable() && !connecting_ && !closed_ && backoff_.allows_attempt(base::clock::now())) {
        connecting_ = true;
        asio::co_spawn(executor_, connect(self, entropy), asio::detached);
    }
    if (connecting_) {
        const auto timer = std::make_shared<asio::steady_timer>(executor_, deadline - base::clock::now());
        waiting_.push_back(timer);
        boost::system::error_code ignored;
        co_await timer->async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        std::erase(waiting_, timer);
    }
    if (has_usable()) {
        co_return connection_;
    }
    co_return base::error{base::error_kind::connection_failed,
                          "connecting to peer " + peer_.to_string() + " failed"};
}

asio::awaitable<void> peer_link::connect(std::shared_ptr<peer_link> self, std::uint64_t entropy) {
    auto connected = co_await peer_connection::connect(self->peer_, self->limits_);
    self->connecting_ = false;
    if (connected) {
        self->connection_ = std::move(*connected);
        self->backoff_ = reconnect_backoff{};
        if (self->closed_) {
            self->connection_->close("the client was closed");
        }
    } else {
        self->backoff_ = self->backoff_.after_failure(self->limits_, base::clock::now(), entropy);
    }
    for (const auto& timer : self->waiting_) {
        timer->cancel();
    }
}

const throttle_table* peer_link::throttles() const noexcept {
    return has_usable() ? &connection_->throttles() : nullptr;
}

bool peer_link::is_idle(base::clock::time_point now) const {
    return !connecting_ && waiting_.empty() && !has_usable() && backoff_.allows_attempt(now);
}

void peer_link::close() {
    closed_ = true;
    if (connection_ != nullptr) {
        connection_->close("the client was closed");
    }
}

} // namespace daemons
