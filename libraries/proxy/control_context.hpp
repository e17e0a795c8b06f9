#pragma once

#include <backends/primary_directory.hpp>
#include <backends/primary_health.hpp>
#include <base/clock.hpp>
#include <base/event.hpp>
#include <base/store_revision.hpp>
#include <daemons/fencing_token.hpp>
#include <daemons/fleet_message.hpp>
#include <daemons/leadership_times.hpp>
#include <daemons/primary_lease.hpp>
#include <http/wait_signal.hpp>
#include <operators/session_settings.hpp>
#include <platform/store_history.hpp>
#include <proxy/background_task.hpp>
#include <proxy/configuration_lag.hpp>
#include <proxy/events.hpp>
#include <proxy/fleet_knowledge.hpp>
#include <proxy/group_table.hpp>
#include <proxy/ignored_entries.hpp>
#include <proxy/pending_watch.hpp>
#include <proxy/quota_control.hpp>
#include <proxy/session_shared_state.hpp>
#include <proxy/stored_fleet.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace proxy {

/// This daemon's leadership: the exclusive right to replace primaries, held through a leased key in the
/// store.
struct held_leadership {
    /// The store's revision at which the leadership was acquired, in the history of that time.
    base::store_revision revision_;
    std::uint64_t lease_ = 0;
    /// Send time of the last read of the store that showed this daemon as the leader.
    base::clock::time_point verified_at_{};
    base::clock::time_point acquired_at_{};
    /// Whether the previous leader resigned, which means that none of its promotion requests is in flight.
    bool has_predecessor_resigned_ = false;
    /// Whether the previous leader resigned or was an earlier process at this daemon's address, so that it no
    /// longer lends tokens.
    bool has_predecessor_ended_ = false;

    [[nodiscard]] std::uint64_t token() const noexcept { return daemons::fencing_token(revision_); }

    friend auto operator<=>(const held_leadership&, const held_leadership&) = default;
};

/// The state that the components of the control thread share. Thread safety: owned by the control thread.
template <typename Platform>
struct control_context {
    using tables = group_tables<typename Platform::protocol>;
    using table = typename tables::table;

    control_context(boost::asio::io_context& context, operators::session_settings settings,
                    session_shared_state& shared, const tables& groups, std::uint64_t run)
        : context_{context}, settings_{std::move(settings)}, shared_{shared}, groups_{groups}, run_{run},
          address_{settings_->peer_address_.to_string()}, store_history_{[this](base::store_era before,
                                                                                base::store_era now,
                                                                                const std::string& source) {
              enter_store_history(before, now, source);
          }} {}

    /// Publishes the current view of the fleet to the request threads if it differs from the last one.
    void publish() {
        const auto routes = shared_.routes_.get();
        auto view = knowledge_.view(*routes);
        if (view == published_view_) {
            return;
        }
        log_changes(view);
        published_view_ = view;
        primaries_ = usable_primaries(view);
        // A primary that is being replaced is not used from now on, although the request threads still have
        // the previous view.
        shared_.published_lease_.publish({shared_.published_lease_.expiry(), primaries_});
        shared_.fleet_.publish(std::move(view));
        for (auto* thread_groups : groups_.all()) {
            boost::asio::post(thread_groups->executor(), [thread_groups] { thread_groups->refresh(); });
        }
    }

    /// Publishes the primary lease to the request threads, with the primaries that it covers. Precondition:
    /// the takeovers that the lease rests on were adopted.
    void publish_primary_lease() {
        shared_.published_lease_.publish({primary_lease_.expiry(), primaries_});
        const bool is_valid = base::clock::now() < primary_lease_.expiry();
        if (is_valid != was_primary_lease_valid_) {
            was_primary_lease_valid_ = is_valid;
            base::log_event(events::evidence_changed, {{"held", is_valid ? "yes" : "no"}});
        }
    }

    /// Returns a completion handler for a coroutine that nobody awaits.
    [[nodiscard]] task_failure_log log_failures(std::string task) const {
        return task_failure_log{std::move(task), shared_.counters_.tasks_failed_};
    }

    /// Adopts a takeover record from the store or a peer and publishes the new view. Returns whether the
    /// record is new.
    bool adopt(const daemons::takeover_record& record) {
        if (!knowledge_.adopt(record)) {
            return false;
        }
        publish();
        return true;
    }

    /// Gives up the leadership, which permits this daemon to replace primaries.
    void lose_leadership(const std::string& reason) {
        leadership_.reset();
        base::log_event(events::duty_changed, {{"held", "no"}, {"reason", reason}});
    }

    /// Returns whether the takeover records that this daemon knows are those of the store's present history.
    /// Until then no primary lease is renewed and no primary is replaced.
    [[nodiscard]] bool is_history_confirmed() const noexcept { return is_history_confirmed_; }

    /// Records what one read of the fleet's keys shows of the takeover records.
    void note_records(const stored_fleet& entries) {
        stored_records_ = entries.records_;
        stored_confirmed_era_ = entries.confirmed_era_;
        if (entries.confirmed_era_ != entries.era_) {
            set_history_confirmed(false);
        } else if (!is_history_confirmed_) {
            confirm_history(entries.records_);
        }
        for (const auto& record : entries.records_) {
            adopt(record);
        }
    }

    /// Takes over all takeover records of the store's present history, which a leader has confirmed.
    void confirm_history(const std::vector<daemons::takeover_record>& records) {
        set_history_confirmed(true);
        knowledge_.replace_records(records, store_history_.era());
        publish();
    }

    /// Returns the daemons that were registered before the store came back from a copy, which may lack them,
    /// as long as they may have a primary lease from that time.
    [[nodiscard]] const std::set<std::string>& earlier_daemons(base::clock::time_point now) {
        const daemons::primary_lease_limits limits;
        if (now - history_entered_at_ > limits.valid_for_ + limits.peer_rounds_valid_for_) {
            earlier_daemons_.clear();
        }
        return earlier_daemons_;
    }

    /// Records what a peer has received from the store.
    void note_report(const daemons::received_revisions& received, base::clock::time_point now) {
        reported_databases_ = reported_databases_.after_report(received.databases_, now);
        reported_configuration_ = reported_configuration_.after_report(received.configuration_, now);
    }

    /// Returns the version of the configuration in force; 0 for none.
    [[nodiscard]] std::uint64_t configuration_version() const {
        return shared_.routes_.read([](const auto& routes) { return routes->version_; });
    }

    /// Records the version of the configuration that a peer uses.
    void note_configuration(std::uint64_t version, const std::string& peer, base::clock::time_point now) {
        set_configuration_lag(configuration_lag_.after_report(version, configuration_version(), peer, now));
    }

    /// Records that another configuration came into force.
    void note_configuration_change() {
        set_configuration_lag(configuration_lag_.after_change(configuration_version()));
    }

    /// Returns what is known of a configuration that is newer than the one in force.
    [[nodiscard]] const configuration_lag& lag_at(base::clock::time_point now) {
        set_configuration_lag(configuration_lag_.at(now));
        return configuration_lag_;
    }

    /// Probes whether the primary of a service answers this daemon.
    void probe_primary(const std::string& service) {
        auto& thread_groups = groups_.table_for(service);
        boost::asio::post(thread_groups.executor(), [&thread_groups, service] {
            thread_groups.find_or_create(service)->probe_primary();
        });
    }

    /// Stops using a replaced primary; its statements in flight are cancelled after `grace`. Precondition:
    /// the takeover record was adopted.
    [[nodiscard]] boost::asio::awaitable<void> drain_database(std::string service, std::string database,
                                                              base::clock::duration grace) {
        auto& thread_groups = groups_.table_for(service);
        auto work = drain_in_group(thread_groups, service, database, grace);
        co_await boost::asio::co_spawn(thread_groups.executor(), std::move(work), boost::asio::use_awaitable);
    }

    /// Collects the health of the primaries as observed by the groups of all threads.
    [[nodiscard]] boost::asio::awaitable<void> collect_health_reports() {
        for (auto* thread_groups : groups_.all()) {
            auto work = health_reports_of(*thread_groups);
            auto reports = co_await boost::asio::co_spawn(thread_groups->executor(), std::move(work),
                                                          boost::asio::use_awaitable);
            for (auto& report : reports) {
                auto service = report.service_;
                health_reports_.insert_or_assign(std::move(service), std::move(report));
            }
        }
    }

    /// Returns this daemon's observation of the primary of a service.
    [[nodiscard]] daemons::primary_observation observation_of(const std::string& service,
                                                              const std::string& database,
                                                              base::clock::time_point now) const {
        const auto found = health_reports_.find(service);
        if (found == health_reports_.end() || found->second.database_ != database) {
            return daemons::primary_observation::unknown;
        }
        if (found->second.failing_for_) {
            return daemons::primary_observation::fails;
        }
        return now - found->second.last_response_ <= max_response_age ? daemons::primary_observation::answers
                                                                      : daemons::primary_observation::unknown;
    }

    // An older response does not show whether the primary has failed since.
    static constexpr base::clock::duration max_response_age{500};

    boost::asio::io_context& context_;
    operators::session_settings settings_;
    session_shared_state& shared_;
    const tables& groups_;
    /// Random number of this process, which distinguishes it from earlier processes at the same address.
    std::uint64_t run_;
    /// Peer address, which identifies this daemon in the fleet.
    std::string address_;
    fleet_knowledge knowledge_;
    ignored_entries ignored_entries_{shared_.counters_.store_entries_ignored_};
    daemons::primary_lease primary_lease_;
    std::map<std::string, backends::primary_health> health_reports_;
    /// Services with a takeover that this daemon began and has not settled.
    std::set<std::string> active_takeovers_;
    std::optional<held_leadership> leadership_;
    /// Peer address of the leader to ask, from the store or a peer, and the revision of the leader's key
    /// there.
    std::string leader_;
    base::store_revision leader_revision_;
    /// The history of the store that this daemon knows.
    platform::store_history store_history_;
    /// Send time of the last complete read of the fleet's keys.
    base::clock::time_point fleet_read_requested_at_{};
    /// When this daemon learned of the store's present history.
    base::clock::time_point history_entered_at_{};
    /// The history of the last read of the server list.
    base::store_era databases_era_ = base::store_era::unstated;
    /// Whether this daemon led until the store came back from a copy.
    bool has_led_until_return_ = false;
    /// Whether this daemon was registered until then and knew the other daemons of that time.
    bool knew_earlier_daemons_ = false;
    /// The takeover records and the last confirmed history that the last read of the fleet's keys showed.
    std::vector<daemons::takeover_record> stored_records_;
    base::store_era stored_confirmed_era_ = base::store_era::unstated;
    /// Token of a leader that resigned without being able to remove its entry from the store; 0 for none.
    std::uint64_t resigned_token_ = 0;
    /// Number of this daemon's promotion requests without a response.
    std::uint32_t pending_promotions_ = 0;
    /// Notified when a call to the store succeeds again after failures.
    http::wait_signal store_recovered_;
    /// Requests an immediate read of the fleet's keys.
    http::wait_signal poll_requested_;
    /// When a read of the store first showed this daemon's registration; empty while it is not registered.
    std::optional<base::clock::time_point> registered_at_;
    /// Since when this daemon has continuously been a candidate for the leadership, as reads of the store
    /// show.
    std::optional<base::clock::time_point> candidate_since_;
    /// The revisions of the last changes that this daemon has received from the store, and the newest ones
    /// that peers have reported.
    daemons::received_revisions received_;
    reported_change reported_databases_;
    reported_change reported_configuration_;
    /// The limits of tenants.
    quota_control quota_{shared_,
                         {settings_->quota_window_, settings_->quota_over_, settings_->quota_slack_},
                         address_,
                         base::clock::now()};
    bool has_databases_ = false;
    bool is_draining_ = false;

private:
    /// Gives up what rests on revisions and leases of another history of the store.
    void enter_store_history(base::store_era before, base::store_era now, const std::string& source) {
        base::log_event(events::store_history_changed, {{"before", std::to_string(base::number_of(before))},
                                                        {"now", std::to_string(base::number_of(now))},
                                                        {"source", source},
                                                        {"leader", leadership_ ? "yes" : "no"}});
        const auto at = base::clock::now();
        const daemons::primary_lease_limits limits;
        const auto list_age = primary_lease_.list_age(at);
        has_led_until_return_ = is_history_confirmed_ && leadership_ &&
                                at - leadership_->verified_at_ < daemons::leadership_freshness;
        knew_earlier_daemons_ =
            is_history_confirmed_ && registered_at_ && list_age && *list_age <= limits.peer_rounds_valid_for_;
        for (const auto& [address, entry] : knowledge_.registrations()) {
            earlier_daemons_.insert(address);
        }
        earlier_daemons_.erase(address_);
        history_entered_at_ = at;
        set_history_confirmed(false);
        shared_.counters_.store_era_.store(base::number_of(now), std::memory_order_relaxed);
        shared_.counters_.store_returns_.fetch_add(before == base::store_era::unstated ? 0 : 1,
                                                   std::memory_order_relaxed);
        primary_lease_.note_store_return();
        if (leadership_) {
            lose_leadership("the store came back from a copy");
        }
        resigned_token_ = 0;
        leader_revision_ = {};
        received_ = {};
        reported_databases_ = {};
        reported_configuration_ = {};
        // The other daemons learn the new leader and its records from the possible leaders.
        if (candidate_since_) {
            poll_requested_.notify_all();
        }
    }

    void set_history_confirmed(bool is_confirmed) {
        is_history_confirmed_ = is_confirmed;
        shared_.counters_.store_history_confirmed_.store(is_confirmed ? 1 : 0, std::memory_order_relaxed);
    }

    static boost::asio::awaitable<void> drain_in_group(table& thread_groups, std::string service,
                                                       std::string database, base::clock::duration grace) {
        // The view with the open record was posted earlier, so the group has received it.
        const auto group = thread_groups.find_or_create(service);
        // A primary that has restarted may be listed under another id.
        const auto view = group->view();
        for (const auto& listing : view->databases_) {
            if (listing->role_ == backends::listed_role::primary && listing->id_ != database) {
                co_await group->drain_database(listing->id_, base::clock::duration{0});
            }
        }
        if (database.empty()) {
            // The takeover record was damaged and does not tell which database was the primary.
            for (const auto& listing : view->databases_) {
                co_await group->drain_database(listing->id_, base::clock::duration{0});
            }
        }
        co_await group->drain_database(database, grace);
    }

    static boost::asio::awaitable<std::vector<backends::primary_health>>
    health_reports_of(table& thread_groups) {
        co_return thread_groups.primary_healths();
    }

    void log_changes(const fleet_view& view) const {
        for (const auto& [service, current] : view->services_) {
            const auto previous = published_view_->services_.find(service);
            if (previous != published_view_->services_.end() && previous->second == current) {
                continue;
            }
            std::string listed;
            for (const auto& database : current->databases_) {
                listed.append(database->id_)
                    .append(database->state_ == backends::listed_state::draining ? "(draining) " : " ");
            }
            base::log_event(events::service_changed,
                            {{"service", service},
                             {"primary", current->primary_},
                             {"state", std::to_string(static_cast<int>(current->primary_state_))},
                             {"databases", listed}});
        }
    }

    void set_configuration_lag(configuration_lag lag) {
        configuration_lag_ = std::move(lag);
        shared_.configuration_lag_.set(configuration_lag_);
    }

    [[nodiscard]] static backends::primary_directory usable_primaries(const fleet_view& view) {
        backends::primary_directory::entries primaries;
        for (const auto& [service, current] : view->services_) {
            if (current->primary_state_ == backends::primary_state::usable) {
                primaries.emplace(service, current->primary_);
            }
        }
        return backends::primary_directory{std::move(primaries)};
    }

    fleet_view published_view_;
    backends::primary_directory primaries_;
    configuration_lag configuration_lag_;
    bool is_history_confirmed_ = false;
    std::set<std::string> earlier_daemons_;
    bool was_primary_lease_valid_ = false;
};

} // namespace proxy
