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

/// Suspends a publication before a retry. Production code uses `timed_delay`.
template <typename Delay>
concept publishing_delay = requires(Delay& delay, base::clock::duration length) {
    { delay(length) } -> std::same_as<boost::asio::awaitable<void>>;
};

/// A `publishing_delay` that waits for the given time.
struct timed_delay {
    boost::asio::awaitable<void> operator()(base::clock::duration length) const {
        return http::sleep_for(length);
    }
};

/// Logs the result of a publication. Thread safety: any thread.
void log_report(const publishing_report& report);

/// Logs that the response to a put was lost. Thread safety: any thread.
void log_lost_response(const base::error& reason);

/// Executes a `put_key` action and returns the resulting event. A helper of `publish`.
template <configuration_store Store>
boost::asio::awaitable<publishing_event> execute_put(Store& store, const put_key& put) {
    const std::string key{configuration_key};
    const auto response = co_await store.put_if(key, put.value_, put.expected_revision_);
    if (!response) {
        log_lost_response(response.last_reason());
        co_return put_failed{response.last_reason()};
    }
    co_return put_completed{response->applied_, response->revision_};
}

/// Executes a `read_key` action, including its delay, and returns the resulting event. A helper of `publish`.
template <configuration_store Store, publishing_delay Delay>
boost::asio::awaitable<publishing_event> execute_read(Store& store, const read_key& read, Delay& delay) {
    if (read.delay_ != base::clock::duration{0}) {
        co_await delay(read.delay_);
    }
    const std::string key{configuration_key};
    const auto response = co_await store.get(key);
    if (!response) {
        co_return read_failed{response.last_reason()};
    }
    co_return read_completed{response->found_, response->value_, response->revision_};
}

/// Publishes a configuration to a store. The report never claims more than the store confirmed.
/// Thread safety: that of `store`. Precondition: `store`, `request` and `delay` outlive the coroutine.
template <configuration_store Store, publishing_delay Delay>
boost::asio::awaitable<publishing_report> publish(Store& store, const publication& request, Delay& delay) {
    auto decision = start_publishing(request);
    while (!std::holds_alternative<finish_publishing>(decision.action_)) {
        publishing_event event;
        if (const auto* put = std::get_if<put_key>(&decision.action_)) {
            event = co_await execute_put(store, *put);
        } else {
            event = co_await execute_read(store, std::get<read_key>(decision.action_), delay);
        }
        decision = decide_publishing(decision.state_, event);
    }
    auto report = std::get<finish_publishing>(std::move(decision.action_)).report_;
    log_report(report);
    co_return report;
}

} // namespace operators
