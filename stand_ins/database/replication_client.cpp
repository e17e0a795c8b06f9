#include <stand_ins/database/replication_client.hpp>

#include <http/sleep.hpp>
#include <stand_ins/database/database_codec.hpp>

#include <algorithm>

namespace stand_ins::database {

namespace asio = boost::asio;

namespace {

constexpr base::clock::duration heartbeat_period{100};
constexpr base::clock::duration retry_pause{100};
constexpr base::clock::duration push_timeout{1'000};
constexpr std::size_t most_entries_in_push = 500;

} // namespace

asio::awaitable<void> replication_client::run() {
    for (;;) {
        if (!node_->state().terms().is_primary()) {
            co_await node_->changed().wait();
            continue;
        }
        follow_own_term();
        co_await push_once();
    }
}

void replication_client::follow_own_term() {
    if (term_ != node_->state().terms().term()) {
        term_ = node_->state().terms().term();
        progress_ = replication_progress{node_->state().last().index() + 1};
        peer_lag_.reset();
    }
}

asio::awaitable<void> replication_client::push_once() {
    co_await node_->wait_for_outgoing(peer_.to_string(), no_connection);
    if (node_->state().terms().term() != term_ || !node_->state().terms().is_primary()) {
        co_return;
    }
    const auto last_allowed = peer_lag_ ? node_->last_index_at(base::clock::now() - *peer_lag_) : 0;
    const auto push = next_push(node_->state(), progress_, last_allowed, most_entries_in_push);
    const auto answer = co_await exchange(push);
    if (!answer || !answer->accepted_) {
        co_await http::sleep_for(retry_pause);
        co_return;
    }
    if (node_->state().terms().term() != term_) {
        co_return;
    }
    peer_lag_ = base::clock::duration{static_cast<std::int64_t>(answer->lag_ms_)};
    progress_ = after_response(progress_, push, *answer);
    if (answer->matched_ && !has_entries_to_push()) {
        co_await wait_for_entries();
    }
}

asio::awaitable<std::optional<replication_response>> replication_client::exchange(replication_push push) {
    if (!connection_ || !connection_->is_usable()) {
        connection_.reset();
        auto connected = co_await http::client_connection::connect(peer_, push_timeout);
        if (!connected) {
            co_return std::nullopt;
        }
        connection_.emplace(std::move(*connected));
    }
    auto message =
        http::json_post("/v1/replicate", encode_push(push)).with([this](http::request_fields& fields) {
            fields.headers_.push_back({"Sassafrasdeal-From", node_->settings().listen_.to_string()});
        });
    const auto response = co_await connection_->exchange(std::move(message), push_timeout);
    co_await node_->wait_for_incoming(peer_.to_string(), no_connection);
    if (!response || (*response)->status_ != 200) {
        co_return std::nullopt;
    }
    const auto answer = decode_push_response((*response)->body_);
    co_return answer ? std::optional{*answer} : std::nullopt;
}

bool replication_client::has_entries_to_push() const {
    return progress_.next() <= node_->last_index_at(base::clock::now() - *peer_lag_);
}

asio::awaitable<void> replication_client::wait_for_entries() {
    if (progress_.next() > node_->state().last().index()) {
        co_await node_->changed().wait_for(heartbeat_period);
        co_return;
    }
    const auto ready = node_->appended_at(progress_.next()) + *peer_lag_;
    const auto remaining = std::max(ready - base::clock::now(), base::clock::duration{1});
    co_await http::sleep_for(std::min(remaining, heartbeat_period));
}

} // namespace stand_ins::database
