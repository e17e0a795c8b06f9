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

/// Suspends a publication between two attempts. Production code uses `http::sleep_for`.
template <typename Pause>
concept publishing_pause = requires(Pause& pause, base::clock::duration length) {
    { pause(length) } -> std::same_as<boost::asio::awaitable<void>>;
};

/// Logs the event that belongs to a report. Thread safety: any thread.
void log_report(const publishing_report& report);

/// Logs that an answer to a put was lost. Thread safety: any thread.
void log_lost_answer(const base::error& reason);

/// Carries out a publication against a store. The report never claims more than the store confirmed.
/// Thread safety: as `store`. Precondition: `store` and `pause` outlive the coroutine.
template <configuration_store Store, publishing_pause Pause>
boost::asio::awaitable<publishing_report> publish(Store& store, publication wanted, Pause& pause) {
    auto decision = start_publishing(std::move(wanted));
    while (!std::holds_alternative<finish_publishing>(decision.action_)) {
        const std::string key{configuration_key};
        if (const auto* put = std::get_if<put_key>(&decision.action_)) {
            const auto answer = co_await store.put_if(key, put->value_, put->expected_revision_);
            if (answer) {
                const put_was_answered event{answer->applied_, answer->revision_};
                decision = decide_publishing(decision.state_, event);
            } else {
                log_lost_answer(answer.last_reason());
                const put_has_failed event{answer.last_reason()};
                decision = decide_publishing(decision.state_, event);
            }
            continue;
        }
        const auto length = std::get<read_key>(decision.action_).pause_;
        if (length != base::clock::duration{0}) {
            co_await pause(length);
        }
        const auto read = co_await store.get(key);
        if (read) {
            const value_was_read event{read->found_, read->value_, read->revision_};
            decision = decide_publishing(decision.state_, event);
        } else {
            const read_has_failed event{read.last_reason()};
            decision = decide_publishing(decision.state_, event);
        }
    }
    auto report = std::get<finish_publishing>(std::move(decision.action_)).report_;
    log_report(report);
    co_return report;
}

/// Carries out a publication with real pauses.
template <configuration_store Store>
boost::asio::awaitable<publishing_report> publish(Store& store, publication wanted) {
    auto pause = [](base::clock::duration length) {
        return http::sleep_for(length);
    };
    co_return co_await publish(store, std::move(wanted), pause);
}

} // namespace operators
