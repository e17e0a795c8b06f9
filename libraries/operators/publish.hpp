#pragma once

#include <http/sleep.hpp>
#include <operators/configuration_store.hpp>
#include <operators/publishing.hpp>

#include <boost/asio/awaitable.hpp>

#include <concepts>
#include <string>
#include <utility>
#include <variant>

namespace operators {

/// Suspends a publication between two attempts. Production code uses `timed_delay`.
template <typename Pause>
concept publishing_pause = requires(Pause& pause, base::clock::duration length) {
    { pause(length) } -> std::same_as<boost::asio::awaitable<void>>;
};

/// The pause of production code.
struct timed_delay {
    boost::asio::awaitable<void> operator()(base::clock::duration length) const {
        return http::sleep_for(length);
    }
};

/// Logs the event that belongs to a report. Thread safety: any thread.
void log_report(const publishing_report& report);

/// Logs that an answer to a put was lost. Thread safety: any thread.
void log_lost_response(const base::error& reason);

/// Writes the key as an action says and returns what came of it. A helper of `publish`.
template <configuration_store Store>
boost::asio::awaitable<publishing_event> carry_out_put(Store& store, const put_key& put) {
    const std::string key{configuration_key};
    const auto response = co_await store.put_if(key, put.value_, put.expected_revision_);
    if (!response) {
        log_lost_response(response.last_reason());
        co_return put_has_failed{response.last_reason()};
    }
    co_return put_was_answered{response->applied_, response->revision_};
}

/// Pauses and reads the key as an action says and returns what came of it. A helper of `publish`.
template <configuration_store Store, publishing_pause Pause>
boost::asio::awaitable<publishing_event> carry_out_read(Store& store, const read_key& read, Pause& pause) {
    if (read.pause_ != base::clock::duration{0}) {
        co_await pause(read.pause_);
    }
    const std::string key{configuration_key};
    const auto response = co_await store.get(key);
    if (!response) {
        co_return read_has_failed{response.last_reason()};
    }
    co_return value_was_read{response->found_, response->value_, response->revision_};
}

/// Carries out a publication against a store. The report never claims more than the store confirmed.
/// Thread safety: as `store`. Precondition: `store`, `wanted` and `pause` outlive the coroutine.
template <configuration_store Store, publishing_pause Pause>
boost::asio::awaitable<publishing_report> publish(Store& store, const publication& wanted, Pause& pause) {
    auto decision = start_publishing(wanted);
    while (!std::holds_alternative<finish_publishing>(decision.action_)) {
        publishing_event event;
        if (const auto* put = std::get_if<put_key>(&decision.action_)) {
            event = co_await carry_out_put(store, *put);
        } else {
            event = co_await carry_out_read(store, std::get<read_key>(decision.action_), pause);
        }
        decision = decide_publishing(decision.state_, event);
    }
    auto report = std::get<finish_publishing>(std::move(decision.action_)).report_;
    log_report(report);
    co_return report;
}

} // namespace operators
