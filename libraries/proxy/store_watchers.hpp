#pragma once

#include <base/clock.hpp>
#include <base/event.hpp>
#include <base/store_revision.hpp>
#include <http/sleep.hpp>
#include <platform/store_item.hpp>
#include <proxy/change_batching.hpp>
#include <proxy/configuration_exchange.hpp>
#include <proxy/control_context.hpp>
#include <proxy/pending_watch.hpp>
#include <proxy/retry_delay.hpp>

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace proxy {

/// Keeps the configuration and the server list up to date: reads them, watches them for changes, and reads
/// them again whenever a watch fails and may have missed a change.
///
/// A store that is silent for a moment never responds to the watches that it received meanwhile, although it
/// serves other calls. So the candidates for the leadership watch for a short time at once, and every daemon
/// gives up a watch that owes a change which a peer has received. The load on the store does not grow with
/// the fleet. Thread safety: control thread.
template <typename Platform>
class store_watchers {
public:
    using entries = typename Platform::entries;

    /// `exchange` outlives this object.
    store_watchers(control_context<Platform>& control, configuration_exchange<Platform>& exchange)
        : control_{control}, exchange_{exchange}, configuration_{{control.settings_->store_address_,
                                                                  call_timeout, control.store_history_},
                                                                 {}},
          databases_{{control.settings_->store_address_, call_timeout, control.store_history_}, {}} {}

    /// Follows the operators' configuration until the process ends.
    [[nodiscard]] boost::asio::awaitable<void> follow_configuration() {
        retry_delay delay{"configuration", control_.store_recovered_, retry_limits};
        for (;;) {
            std::string key{entries::configuration_key};
            auto item = co_await configuration_.store_.get(std::move(key));
            if (!item && item.last_reason().kind() != base::error_kind::not_found) {
                co_await delay.wait_after_failure(item.last_reason());
                continue;
            }
            delay.record_success();
            base::store_revision revision;
            if (item) {
                // The history may no longer reach back to the last change of the key.
                revision = item->read_at_;
                note_received(control_.received_.configuration_, item->revision_);
                control_.reported_configuration_ =
                    control_.reported_configuration_.after_read(revision).after_received(revision);
                exchange_.apply_stored(item->value_, item->revision_, "read");
            } else {
                co_await http::sleep_for(first_configuration_poll_interval);
                continue;
            }
            co_await watch_configuration(revision);
            co_await http::sleep_for(delay_after_watch);
        }
    }

    /// Follows the server list until the process ends.
    [[nodiscard]] boost::asio::awaitable<void> follow_databases() {
        retry_delay delay{"databases", control_.store_recovered_, retry_limits};
        for (;;) {
            std::vector<backends::database_listing> listings;
            auto start_revision = co_await list_databases(listings);
            if (!start_revision) {
                co_await delay.wait_after_failure(start_revision.last_reason());
                continue;
            }
            delay.record_success();
            control_.reported_databases_ =
                control_.reported_databases_.after_read(*start_revision).after_received(*start_revision);
            control_.knowledge_.set_databases(listings, base::clock::now());
            control_.has_databases_ = true;
            control_.databases_era_ = start_revision->era();
            control_.publish();
            co_await watch_databases(*start_revision);
            co_await http::sleep_for(delay_after_watch);
        }
    }

    /// Gives up watches whose response is lost, until the process ends.
    [[nodiscard]] boost::asio::awaitable<void> interrupt_overdue_watches() {
        for (;;) {
            co_await http::sleep_for(overdue_check_interval);
            interrupt_if_overdue(configuration_, control_.reported_configuration_, "configuration");
            interrupt_if_overdue(databases_, control_.reported_databases_, "databases");
            report_lag(base::clock::now());
        }
    }

private:
    using watch_result = base::result<platform::store_changes>;

    /// The client that follows one part of the store, and its watch without a response, if there is one.
    struct follower {
        typename Platform::store store_;
        std::optional<pending_watch> pending_;
    };

    boost::asio::awaitable<watch_result> watch(follower& part, std::string prefix,
                                               base::store_revision revision) {
        // Before its first read of the fleet's keys, a daemon does not know whether it is a candidate.
        const bool may_become_leader =
            control_.candidate_since_ || control_.leadership_ || !control_.registered_at_;
        const auto wait = may_become_leader ? candidate_watch_timeout : watch_timeout;
        part.pending_ = pending_watch{revision, base::clock::now()};
        auto changes = co_await part.store_.watch(std::move(prefix), revision, wait);
        part.pending_.reset();
        co_return changes;
    }

    void interrupt_if_overdue(follower& part, const reported_change& change, const char* watched) {
        if (!part.pending_) {
            return;
        }
        const bool is_of_earlier_history = part.pending_->after_.era() != control_.store_history_.era();
        const bool is_lost =
            !part.store_.is_receiving() && is_overdue(*part.pending_, change, base::clock::now());
        if (is_of_earlier_history || is_lost) {
            base::log_event(events::watch_interrupted,
                            {{"watched", watched},
                             {"after", std::to_string(part.pending_->after_.number())},
                             {"reported", std::to_string(change.revision().number())}});
            part.pending_.reset();
            part.store_.interrupt();
        }
    }

    /// Logs once for each newer version that it has not arrived, long after a watch would have delivered it.
    void report_lag(base::clock::time_point now) {
        const auto& lag = control_.lag_at(now);
        if (!lag.since() || now - *lag.since() < reported_lag || lag.version() == last_logged_version_) {
            return;
        }
        last_logged_version_ = lag.version();
        base::log_event(events::configuration_behind,
                        {{"version", std::to_string(control_.configuration_version())},
                         {"received", std::to_string(control_.received_.configuration_.number())},
                         {"newer", std::to_string(lag.version())},
                         {"peer", lag.peer()},
                         {"behind_ms", std::to_string((now - *lag.since()).count())},
                         {"watching", configuration_.pending_ ? "yes" : "no"}});
    }

    static void note_received(base::store_revision& received, base::store_revision revision) {
        received = later_of(received, revision);
    }

    static base::store_revision later_of(base::store_revision first, base::store_revision second) noexcept {
        return second.is_later_than(first) ? second : first;
    }

    boost::asio::awaitable<void> watch_configuration(base::store_revision revision) {
        for (;;) {
            std::string key{entries::configuration_key};
            auto changes = co_await watch(configuration_, std::move(key), revision);
            if (!changes) {
                co_return;
            }
            revision = later_of(revision, changes->at_);
            control_.reported_configuration_ = control_.reported_configuration_.after_received(revision);
            for (const auto& event : changes->events_) {
                // The store watches a prefix, under which there may be other keys.
                if (event.key_ != entries::configuration_key) {
                    continue;
                }
                note_received(control_.received_.configuration_, event.revision_);
                if (event.value_) {
                    exchange_.apply_stored(*event.value_, event.revision_, "watch");
                }
            }
            for (const auto& key : changes->undecodable_keys_) {
                if (key == entries::configuration_key) {
                    exchange_.reject("the store's item cannot be decoded", changes->at_, "watch");
                }
            }
        }
    }

    boost::asio::awaitable<base::result<base::store_revision>>
    list_databases(std::vector<backends::database_listing>& listings) {
        std::string last_key;
        base::store_revision start_revision;
        for (;;) {
            std::string prefix{entries::databases_prefix};
            auto page = co_await databases_.store_.list(std::move(prefix), last_key);
            if (!page) {
                co_return page.last_reason();
            }
            // The pages are no consistent snapshot: the watch starts at the revision of the first page and
            // delivers the changes since then.
            start_revision = last_key.empty() ? page->at_ : start_revision;
            if (start_revision.era() != page->at_.era()) {
                co_return base::error{base::error_kind::history_lost,
                                      "the store came back from a copy between two pages"};
            }
            const auto now = base::clock::now();
            for (const auto& item : page->items_) {
                note_received(control_.received_.databases_, item.revision_);
                auto database = entries::read_database(item.key_, item.value_);
                if (database) {
                    listings.push_back(std::move(*database));
                } else {
                    report(item.key_, item.revision_, database.last_reason(), now);
                }
            }
            report(page->undecodable_keys_, now);
            last_key = page->last_key_;
            if (!page->has_more_ || last_key.empty()) {
                co_return start_revision;
            }
        }
    }

    boost::asio::awaitable<void> watch_databases(base::store_revision revision) {
        change_batching batching;
        for (;;) {
            std::string prefix{entries::databases_prefix};
            auto changes = co_await watch(databases_, std::move(prefix), revision);
            if (!changes) {
                co_return;
            }
            revision = later_of(revision, changes->at_);
            control_.reported_databases_ = control_.reported_databases_.after_received(revision);
            const auto now = base::clock::now();
            apply(*changes, now);
            control_.publish();
            batching = changes->events_.empty() ? change_batching{} : batching.after_change(now);
            co_await http::sleep_for(batching.delay());
        }
    }

    /// Applies the changes of the server list. An entry that was removed, or overwritten with a value that
    /// cannot be used, counts as absent.
    void apply(const platform::store_changes& changes, base::clock::time_point now) {
        for (const auto& event : changes.events_) {
            note_received(control_.received_.databases_, event.revision_);
            if (!event.value_) {
                mark_vanished(event.key_, now);
                continue;
            }
            auto database = entries::read_database(event.key_, *event.value_);
            if (database) {
                control_.knowledge_.update_database(std::move(*database));
            } else {
                report(event.key_, event.revision_, database.last_reason(), now);
                mark_vanished(event.key_, now);
            }
        }
        for (const auto& key : changes.undecodable_keys_) {
            mark_vanished(key, now);
        }
        report(changes.undecodable_keys_, now);
    }

    void mark_vanished(const std::string& key, base::clock::time_point now) {
        if (key.starts_with(entries::databases_prefix)) {
            control_.knowledge_.mark_vanished(key.substr(entries::databases_prefix.size()), now);
        }
    }

    void report(const std::string& key, base::store_revision revision, const base::error& reason,
                base::clock::time_point now) {
        control_.ignored_entries_.report(key, revision, reason.message(), now);
    }

    void report(const std::vector<std::string>& undecodable_keys, base::clock::time_point now) {
        for (const auto& key : undecodable_keys) {
            control_.ignored_entries_.report(key, {}, "the store's item cannot be decoded", now);
        }
    }

    // The poll of the fleet's keys retries more often and ends these delays once the store answers it.
    static constexpr platform::backoff_limits retry_limits{base::clock::duration{60},
                                                           base::clock::duration{2'000}};
    // The store answers within milliseconds, so a response that does not begin or go on for this long is
    // considered lost.
    static constexpr base::clock::duration call_timeout{700};
    // Long, because every call to the store has a cost, a watch without changes too. A dead connection is
    // detected by its keep-alive probes within three seconds. The wait is shorter than the time for which
    // the store keeps its history; otherwise the next watch would find that its start is gone.
    static constexpr base::clock::duration watch_timeout{15'000};
    // With a lost call, well below the time for which a leaving database is still used.
    static constexpr base::clock::duration candidate_watch_timeout{2'500};
    static constexpr base::clock::duration overdue_check_interval{200};
    // The end of a lost watch and a read of the store are over by then.
    static constexpr base::clock::duration reported_lag{1'500};
    // Prevents a busy loop against a store that refuses watches but answers reads.
    static constexpr base::clock::duration delay_after_watch{120};
    static constexpr base::clock::duration first_configuration_poll_interval{250};

    control_context<Platform>& control_;
    configuration_exchange<Platform>& exchange_;
    follower configuration_;
    follower databases_;
    /// The newest version of which it was logged that it has not arrived.
    std::uint64_t last_logged_version_ = 0;
};

} // namespace proxy
