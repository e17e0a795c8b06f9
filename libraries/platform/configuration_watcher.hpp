#pragma once

#include <base/clock.hpp>
#include <base/event.hpp>
#include <http/sleep.hpp>
#include <platform/events.hpp>
#include <platform/key_value_store.hpp>
#include <platform/watch_progress.hpp>

#include <boost/asio/awaitable.hpp>

#include <concepts>
#include <cstdint>
#include <random>
#include <string>
#include <utility>

namespace platform {

/// The key that a watcher observes and the timing of its requests.
struct watch_settings {
    std::string key_;
    /// How long the store may delay the response to one watch request. An unresponsive connection hides
    /// changes for this long plus the call timeout, and every daemon has to apply a change within 13 s.
    base::clock::duration wait_{5'000};
    /// The revision that the caller already has; 0 for none.
    std::uint64_t known_revision_ = 0;
    backoff_limits backoff_;
    std::uint64_t seed_ = 0;

    friend auto operator<=>(const watch_settings&, const watch_settings&) = default;
};

/// Watches one key of the store and passes each newer revision and its text to a receiver.
///
/// Revisions arrive in ascending order; some may be skipped. During an outage of any length it retries after
/// jittered delays up to the maximum, so that each watcher sends a single call when the outage ends. Thread
/// safety: used by the thread of the store's client. Lifetime: must outlive `run`.
template <key_value_store Store, std::invocable<std::uint64_t, std::string> Receiver>
class configuration_watcher {
public:
    configuration_watcher(Store& store, watch_settings settings, Receiver receiver)
        : store_{store}, settings_{std::move(settings)}, receiver_{std::move(receiver)},
          progress_{settings_.known_revision_, settings_.backoff_}, random_{settings_.seed_} {}

    /// Watches until `stop`.
    [[nodiscard]] boost::asio::awaitable<void> run() {
        while (!stopped_) {
            const auto started = base::clock::now();
            auto response = co_await store_.watch(settings_.key_, progress_.revision(), settings_.wait_);
            if (stopped_) {
                co_return;
            }
            const auto outcome = progress_.classify(response);
            progress_ = progress_.advance(response, base::clock::now() - started, settings_.wait_, random_());
            report(outcome, response);
            if (progress_.delay().count() > 0) {
                co_await http::sleep_for(progress_.delay());
            }
        }
    }

    /// Ends `run` after the current watch request or delay; the receiver is not called any more.
    void stop() noexcept { stopped_ = true; }

    /// Returns the greatest revision that was passed to the receiver or known at the start.
    [[nodiscard]] std::uint64_t revision() const noexcept { return progress_.revision(); }

private:
    void report(watch_outcome outcome, base::result<stored_value>& response) {
        switch (outcome) {
        case watch_outcome::none:
            return;
        case watch_outcome::newer:
            log(events::watched_key_changed, std::to_string(response->revision_));
            receiver_(response->revision_, std::move(response->value_));
            return;
        case watch_outcome::older:
            log(events::watched_key_older, std::to_string(response->revision_));
            return;
        case watch_outcome::absent:
            log(events::watched_key_absent, std::to_string(progress_.revision()));
            return;
        case watch_outcome::failed:
            log(events::watch_failed, response.last_reason().message());
            return;
        }
    }

    void log(const base::event_definition& event, std::string detail) const {
        base::log_event(event, {{"key", settings_.key_}, {"detail", std::move(detail)}});
    }

    Store& store_;
    watch_settings settings_;
    Receiver receiver_;
    watch_progress progress_;
    std::mt19937_64 random_;
    bool stopped_ = false;
};

} // namespace platform
