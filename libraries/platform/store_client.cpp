#include <platform/store_client.hpp>

#include <http/sleep.hpp>
#include <platform/events.hpp>
#include <platform/store_codec.hpp>

#include <algorithm>
#include <utility>

namespace platform {

namespace asio = boost::asio;

namespace {

// One for a call beside a watch that waits.
constexpr std::size_t most_idle_connections = 2;

std::uint64_t random_seed() {
    std::random_device source;
    return (std::uint64_t{source()} << 32U) | source();
}

const base::event_definition& event_for(base::error_kind kind) {
    switch (kind) {
    case base::error_kind::answer_lost:
        return events::store_answer_lost;
    case base::error_kind::overloaded:
        return events::store_call_limited;
    default:
        return events::store_unavailable;
    }
}

// An answer that cannot be read leaves a change as open as no answer.
template <typename Value>
base::result<Value> response_to_change(base::result<Value> decoded) {
    return decoded ? decoded : unanswered_call(call_effect::changes, decoded.last_reason());
}

} // namespace

store_client::store_client(base::endpoint store, base::clock::duration call_timeout)
    : store_client{std::move(store), call_timeout, random_seed(), backoff_limits{}} {}

store_client::store_client(base::endpoint store, base::clock::duration call_timeout, std::uint64_t seed,
                           backoff_limits limits)
    : store_{std::move(store)}, call_timeout_{call_timeout}, random_{seed}, backoff_{limits} {}

asio::awaitable<base::result<stored_value>> store_client::get(std::string key) {
    store_call request{"/v1/get", store_codec::encode_get(key), call_effect::reads, call_timeout_};
    const auto body = co_await call(std::move(request));
    co_return body ? store_codec::decode_value(*body) : body.last_reason();
}

asio::awaitable<base::result<put_result>> store_client::put_if(std::string key, std::string value,
                                                               std::uint64_t expected_revision) {
    store_call request{"/v1/put_if", store_codec::encode_put_if(key, value, expected_revision, std::nullopt),
                       call_effect::changes, call_timeout_};
    const auto body = co_await call(std::move(request));
    co_return body ? response_to_change(store_codec::decode_put_result(*body)) : body.last_reason();
}

asio::awaitable<base::result<put_result>> store_client::put_if_with_lease(std::string key, std::string value,
                                                                          std::uint64_t expected_revision,
                                                                          std::uint64_t lease) {
    store_call request{"/v1/put_if", store_codec::encode_put_if(key, value, expected_revision, lease),
                       call_effect::changes, call_timeout_};
    const auto body = co_await call(std::move(request));
    co_return body ? response_to_change(store_codec::decode_put_result(*body)) : body.last_reason();
}

asio::awaitable<base::result<stored_value>> store_client::watch(std::string key, std::uint64_t after_revision,
                                                                base::clock::duration wait) {
    store_call request{"/v1/watch", store_codec::encode_watch(key, after_revision, wait), call_effect::reads,
                       call_timeout_ + wait};
    const auto body = co_await call(std::move(request));
    co_return body ? store_codec::decode_value(*body) : body.last_reason();
}

asio::awaitable<base::result<std::vector<listed_host>>> store_client::hosts() {
    store_call request{"/v1/hosts", "{}", call_effect::reads, call_timeout_};
    const auto body = co_await call(std::move(request));
    co_return body ? store_codec::decode_hosts(*body) : body.last_reason();
}

asio::awaitable<base::result<lease_state>> store_client::lease(base::clock::duration length) {
    store_call request{"/v1/lease", store_codec::encode_lease(length), call_effect::changes, call_timeout_};
    const auto body = co_await call(std::move(request));
    co_return body ? response_to_change(store_codec::decode_lease(*body)) : body.last_reason();
}

asio::awaitable<base::result<lease_state>> store_client::renew(std::uint64_t lease) {
    store_call request{"/v1/renew", store_codec::encode_renew(lease), call_effect::changes, call_timeout_};
    const auto body = co_await call(std::move(request));
    co_return body ? response_to_change(store_codec::decode_lease(*body)) : body.last_reason();
}

asio::awaitable<base::result<std::string>> store_client::call(store_call request) {
    const auto too_early = co_await wait_for_turn();
    if (too_early) {
        co_return *too_early;
    }
    auto connection = co_await take_connection();
    if (!connection) {
        const auto reason = unsent_call(connection.last_reason());
        note_failure(reason, base::clock::duration{0});
        co_return reason;
    }
    auto message = http::json_post(std::move(request.path_), std::move(request.body_));
    const auto response = co_await connection->exchange(std::move(message), request.timeout_);
    if (!response) {
        const auto reason = unanswered_call(request.effect_, response.last_reason());
        note_failure(reason, base::clock::duration{0});
        co_return reason;
    }
    keep_connection(std::move(*connection));
    const auto failure = failure_in(*response, request.effect_);
    if (failure) {
        note_failure(*failure, asked_pause(*response));
        co_return *failure;
    }
    note_success();
    co_return (*response)->body_;
}

asio::awaitable<std::optional<base::error>> store_client::wait_for_turn() {
    const auto latest = base::clock::now() + call_timeout_;
    while (base::clock::now() < not_before_) {
        if (base::clock::now() >= latest) {
            co_return unsent_call({base::error_kind::timeout, "the pause after a failure is not over"});
        }
        co_await http::sleep_for(std::min(not_before_, latest) - base::clock::now());
    }
    co_return std::nullopt;
}

asio::awaitable<base::result<http::client_connection>> store_client::take_connection() {
    if (!idle_.empty()) {
        auto connection = std::move(idle_.back());
        idle_.pop_back();
        co_return std::move(connection);
    }
    co_return co_await http::client_connection::connect(store_, call_timeout_);
}

void store_client::keep_connection(http::client_connection connection) {
    if (connection.is_usable() && idle_.size() < most_idle_connections) {
        idle_.push_back(std::move(connection));
    }
}

void store_client::note_success() {
    if (backoff_.failures() > 0) {
        base::log_event(events::store_reached_again,
                        {{"store", store_.to_string()}, {"failures", std::to_string(backoff_.failures())}});
    }
    backoff_ = backoff_.after_success();
}

void store_client::note_failure(const base::error& reason, base::clock::duration asked) {
    // A refusal of one request's content says nothing about the store's condition.
    if (reason.kind() == base::error_kind::too_large || reason.kind() == base::error_kind::invalid_request) {
        return;
    }
    backoff_ = backoff_.after_refusal(asked, random_());
    not_before_ = base::clock::now() + backoff_.delay();
    // Idle connections of a store that has failed are likely dead, and a call on a dead one is lost.
    idle_.clear();
    base::log_event(event_for(reason.kind()), {{"store", store_.to_string()},
                                               {"reason", reason.message()},
                                               {"pause_ms", std::to_string(backoff_.delay().count())}});
}

} // namespace platform
