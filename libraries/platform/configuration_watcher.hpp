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

/// What a watcher watches and how.
struct watch_settings {
    std::string key_;
    /// How long one watch waits at the store. A connection that goes silent hides changes for this long plus
    /// the call timeout, and a change has to be in force everywhere within 13 s.
    base::clock::duration wait_{5'000};
    /// The revision that the owner already has, 0 for none.
    std::uint64_t known_revision_ = 0;
    backoff_limits backoff_;
    std::uint64_t seed_ = 0;

    friend auto operator<=>(const watch_settings&, const watch_settings&) = default;
};

/// Watches one key of the store and hands each newer (revision, text) to a receiver.
///
/// It passes revisions in ascending order and may skip some. During an outage of any length it tries again
/// after jittered pauses up to the longest one, so that its end brings one call from each watcher. Thread
/// safety: used by the thread of the store's client. Lifetime: outlives `run`.
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
            const auto news = progress_.news_in(response);
            progress_ = progress_.after(response, base::clock::now() - started, settings_.wait_, random_());
            report(news, response);
            if (progress_.delay().count() > 0) {
                co_await http::sleep_for(progress_.delay());
            }
        }
    }

    /// Ends `run` after the watch or the pause in progress; nothing is handed over any more.
    void stop() noexcept { stopped_ = true; }

    /// Returns the greatest revision that was handed over or known at the start.
    [[nodiscard]] std::uint64_t revision() const noexcept { return progress_.revision(); }

private:
    void report(watch_news news, base::result<stored_value>& response) {
        switch (news) {
        case watch_news::none:
            return;
        case watch_news::newer:
            log(events::watched_key_changed, std::to_string(response->revision_));
            receiver_(response->revision_, std::move(response->value_));
            return;
        case watch_news::older:
            log(events::watched_key_older, std::to_string(response->revision_));
            return;
        case watch_news::absent:
            log(events::watched_key_absent, std::to_string(progress_.revision()));
            return;
        case watch_news::failed:
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
