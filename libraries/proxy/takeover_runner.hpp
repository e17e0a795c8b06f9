#pragma once

#include <backends/primary_promoter.hpp>
#include <backends/promotion_choice.hpp>
#include <base/clock.hpp>
#include <base/event.hpp>
#include <base/log_position.hpp>
#include <base/result.hpp>
#include <base/store_revision.hpp>
#include <daemons/fencing_token.hpp>
#include <daemons/leadership_times.hpp>
#include <daemons/lease_expiry.hpp>
#include <daemons/takeover_claim.hpp>
#include <daemons/takeover_decision.hpp>
#include <daemons/takeover_record.hpp>
#include <http/sleep.hpp>
#include <platform/store_transaction.hpp>
#include <proxy/candidate_reports.hpp>
#include <proxy/control_context.hpp>
#include <proxy/database_request.hpp>
#include <proxy/fleet_keys.hpp>
#include <proxy/peer_exchange.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <exception>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace proxy {

/// Replaces failed and draining primaries while this daemon is the leader.
///
/// A takeover writes an open record to the store, makes every daemon stop using the old primary, promotes
/// another database and settles the record. Thread safety: control thread.
template <typename Platform>
class takeover_runner {
public:
    takeover_runner(control_context<Platform>& control, peer_exchange<Platform>& peers)
        : control_{control}, peers_{peers}, promoter_{control.settings_->promotion_address_,
                                                      daemons::promotion_timeout} {}

    /// Monitors the primaries of all services and starts the takeovers that they need, until the process
    /// ends.
    [[nodiscard]] boost::asio::awaitable<void> watch() {
        for (;;) {
            co_await control_.collect_health_reports();
            const auto now = base::clock::now();
            // The entry of a live database may expire. A database counts as removed only if its entry stays
            // absent for three quarters of the time that a leaving database is given.
            const auto grace = control_.settings_->leaving_ * 3 / 4;
            if (control_.knowledge_.remove_vanished(grace, now)) {
                control_.publish();
            }
            bool is_suspecting = false;
            const auto fleet = control_.shared_.fleet_.get();
            for (const auto& [service, view] : (*fleet)->services_) {
                is_suspecting = evaluate_primary(service, *view, now) || is_suspecting;
            }
            peers_.set_suspecting(is_suspecting);
            co_await remove_silent_daemons(now);
            co_await http::sleep_for(is_suspecting ? suspicion_interval : monitoring_interval);
        }
    }

    /// Returns whether a takeover that this daemon began is under way.
    [[nodiscard]] bool is_busy() const noexcept { return !control_.active_takeovers_.empty(); }

private:
    using protocol = typename Platform::protocol;

    enum class takeover_reason : std::uint8_t { planned, failed, demoted, unfinished };

    /// A primary that is listed as draining, and when this daemon first saw that.
    struct draining_primary {
        std::string database_;
        base::clock::time_point since_{};
    };

    /// One replacement of a primary.
    struct takeover {
        std::string service_;
        /// Empty if the primary is unknown.
        std::string replaced_;
        takeover_reason reason_ = takeover_reason::failed;
        daemons::takeover_claim claim_;
        daemons::takeover_record record_;
        /// The term of the last known primary, see `takeover_record_fields::primary_term_`.
        std::uint64_t primary_term_ = 0;
        /// The term in which the promoted database was observed to lead.
        std::uint64_t new_term_ = daemons::unknown_term;
        /// When the record was first known to be in the store.
        base::clock::time_point recorded_at_{};
        /// Latest time at which this daemon or the previous leader may have sent the promotion request for
        /// the current target.
        std::optional<base::clock::time_point> promotion_requested_at_;
        /// Last log position of the replaced primary, if it reported one.
        std::optional<base::log_position> final_position_;
        /// Whether it led until then, see `promotion_state::is_final_position_complete_`.
        bool is_final_position_complete_ = false;
    };

    [[nodiscard]] bool is_leader(base::clock::time_point now) const {
        return control_.leadership_ && control_.is_history_confirmed() &&
               now - control_.leadership_->verified_at_ < daemons::leadership_freshness;
    }

    [[nodiscard]] base::store_revision known_revision(const std::string& service) const {
        const auto known_record = control_.knowledge_.record_of(service);
        return known_record ? (*known_record)->revision_ : base::store_revision{};
    }

    /// Returns whether the leadership and the takeover record are still those that the takeover began with.
    [[nodiscard]] bool is_current(const takeover& current) const {
        const auto leadership =
            control_.leadership_ ? std::optional{control_.leadership_->revision_} : std::nullopt;
        return daemons::is_current(current.claim_, leadership, known_revision(current.service_));
    }

    /// Returns whether a takeover may send a promotion request now.
    [[nodiscard]] bool may_promote(const takeover& current) const {
        return is_current(current) && is_leader(base::clock::now());
    }

    /// Starts a probe, a suspicion notice or a takeover if the primary of a service needs it. Returns whether
    /// the primary is suspected to have failed.
    bool evaluate_primary(const std::string& service, const backends::service_view_fields& view,
                          base::clock::time_point now) {
        const auto condition = condition_of(service, view, now);
        const auto decision = daemons::decide_takeover(condition);
        if (decision == daemons::takeover_decision::ask_peers) {
            probe_vanished_primary(service, condition);
            return true;
        }
        if (decision == daemons::takeover_decision::nothing || !is_leader(now) ||
            control_.active_takeovers_.contains(service) || control_.is_draining_) {
            return condition.failing_for_.has_value();
        }
        if (decision == daemons::takeover_decision::finish) {
            // A promotion request of the previous leader may be in flight for as long as that leader relied
            // on its last read of the store.
            const bool has_to_wait = !control_.leadership_->has_predecessor_resigned_ &&
                                     now - control_.leadership_->acquired_at_ < daemons::max_late_promotion;
            if (has_to_wait) {
                return false;
            }
        }
        // Listed at once: responses to peers that are sent before the coroutine starts must name the
        // takeover.
        control_.active_takeovers_.insert(service);
        takeover started;
        started.service_ = service;
        started.replaced_ = view.primary_;
        started.reason_ = reason_of(decision);
        started.claim_ = {control_.leadership_->revision_, known_revision(service)};
        boost::asio::co_spawn(control_.context_, run_takeover(std::move(started)),
                              control_.log_failures("takeover"));
        return true;
    }

    static takeover_reason reason_of(daemons::takeover_decision decision) {
        switch (decision) {
        case daemons::takeover_decision::replace_planned:
            return takeover_reason::planned;
        case daemons::takeover_decision::replace_demoted:
            return takeover_reason::demoted;
        case daemons::takeover_decision::finish:
            return takeover_reason::unfinished;
        default:
            return takeover_reason::failed;
        }
    }

    [[nodiscard]] daemons::primary_condition condition_of(const std::string& service,
                                                          const backends::service_view_fields& view,
                                                          base::clock::time_point now) {
        daemons::primary_condition condition;
        condition.is_being_replaced_ = view.primary_state_ == backends::primary_state::being_replaced;
        condition.unknown_for_ = unknown_duration(service, view, now);
        if (view.primary_.empty()) {
            return condition;
        }
        const auto listing = control_.knowledge_.find_database(view.primary_);
        if (listing) {
            track_draining(service, *listing, now);
            track_demotion(service, *listing, now);
        }
        if (const auto draining = draining_.find(service); draining != draining_.end()) {
            condition.draining_for_ = now - draining->second.since_;
            condition.unheard_peers_ = peers_.count_unheard_since(draining->second.since_);
        }
        if (const auto demoted_at = demoted_at_.find(service); demoted_at != demoted_at_.end()) {
            condition.demoted_for_ = now - demoted_at->second;
        }
        const auto vanished = control_.knowledge_.vanished_since(view.primary_);
        if (vanished || !listing) {
            condition.unlisted_for_ = vanished ? now - *vanished : base::clock::duration{0};
        }
        const auto health = control_.health_reports_.find(service);
        if (health != control_.health_reports_.end() && health->second.database_ == view.primary_) {
            condition.failing_for_ = health->second.failing_for_;
        }
        if (!listing) {
            // A database that is no longer listed cannot be probed, so it counts as failing for long enough.
            condition.failing_for_ = base::clock::duration{std::chrono::seconds{60}};
        }
        condition.peers_ = static_cast<std::uint32_t>(control_.knowledge_.registrations().size());
        condition.peers_ -= condition.peers_ > 0 ? 1 : 0;
        condition.peers_reaching_ =
            peers_.count_observations(service, view.primary_, daemons::primary_observation::answers);
        condition.peers_failing_ =
            peers_.count_observations(service, view.primary_, daemons::primary_observation::fails);
        return condition;
    }

    /// Returns for how long this daemon, as the leader, has known databases of a service but not its primary.
    std::optional<base::clock::duration> unknown_duration(const std::string& service,
                                                          const backends::service_view_fields& view,
                                                          base::clock::time_point now) {
        const bool is_unknown =
            view.primary_state_ == backends::primary_state::unknown && !view.databases_.empty();
        if (!is_unknown || !control_.leadership_ || !control_.is_history_confirmed()) {
            unknown_since_.erase(service);
            return std::nullopt;
        }
        return now - unknown_since_.try_emplace(service, now).first->second;
    }

    void track_draining(const std::string& service, const backends::database_listing& primary,
                        base::clock::time_point now) {
        if (primary->state_ != backends::listed_state::draining) {
            draining_.erase(service);
            return;
        }
        auto& known = draining_[service];
        if (known.database_ != primary->id_) {
            known = draining_primary{primary->id_, now};
        }
    }

    void track_demotion(const std::string& service, const backends::database_listing& primary,
                        base::clock::time_point now) {
        const auto record = control_.knowledge_.record_of(service);
        const bool is_settled = record && (*record)->phase_ == daemons::takeover_phase::settled;
        if (is_settled && primary->role_ == backends::listed_role::replica) {
            demoted_at_.try_emplace(service, now);
        } else {
            demoted_at_.erase(service);
        }
    }

    void probe_vanished_primary(const std::string& service, const daemons::primary_condition& condition) {
        if (condition.unlisted_for_ && !condition.failing_for_) {
            control_.probe_primary(service);
        }
    }

    /// Runs one takeover. Afterwards the service counts as without a takeover, also after an exception.
    boost::asio::awaitable<void> run_takeover(takeover current) {
        const auto service = current.service_;
        std::exception_ptr failure;
        try {
            co_await replace_primary(std::move(current));
        } catch (...) {
            failure = std::current_exception();
        }
        control_.active_takeovers_.erase(service);
        note_missing_reports(service, {});
        if (failure) {
            std::rethrow_exception(failure);
        }
    }

    /// Replaces a primary, from the open record to the promotion. Each step is logged.
    boost::asio::awaitable<void> replace_primary(takeover current) {
        if (current.reason_ == takeover_reason::demoted) {
            const bool is_demoted = co_await has_lost_lead(current);
            if (!is_demoted) {
                // Its entry may be out of date: the database or this daemon has lost contact with the store.
                demoted_at_.insert_or_assign(current.service_, base::clock::now());
                co_return;
            }
        }
        base::log_event(events::takeover_begun, {{"service", current.service_},
                                                 {"primary", current.replaced_},
                                                 {"reason", reason_name(current.reason_)}});
        const bool is_open = co_await open_record(current);
        if (is_open) {
            const bool is_stopped = co_await stop_using_primary(current);
            if (is_stopped) {
                co_await promote_until_settled(current);
            }
        }
    }

    /// Returns whether a primary that is listed as a replica reports that it does not lead, or leads only in
    /// a term before the one in which the last takeover settled on it. A database that does not report may
    /// lead; if it has failed, the daemons that use it notice.
    boost::asio::awaitable<bool> has_lost_lead(const takeover& current) {
        const auto listing = control_.knowledge_.find_database(current.replaced_);
        const auto record = control_.knowledge_.record_of(current.service_);
        if (!listing || !record) {
            co_return true;
        }
        auto status_request = protocol::status();
        const auto report = co_await send_request(*listing, std::move(status_request));
        if (!report) {
            log_step(current, "demotion", "not confirmed: " + report.last_reason().message());
            co_return false;
        }
        const auto settled_term = (*record)->primary_term_;
        const bool is_leading = report->role_ == backends::listed_role::primary &&
                                (settled_term == daemons::unknown_term || report->term_ >= settled_term);
        co_return !is_leading;
    }

    static const char* reason_name(takeover_reason reason) {
        switch (reason) {
        case takeover_reason::planned:
            return "draining";
        case takeover_reason::failed:
            return "failed";
        case takeover_reason::demoted:
            return "demoted";
        case takeover_reason::unfinished:
            return "unfinished";
        }
        return "";
    }

    void log_step(const takeover& current, const char* step, std::string result) {
        base::log_event(events::takeover_step,
                        {{"service", current.service_}, {"step", step}, {"result", std::move(result)}});
    }

    /// Ensures that the store holds an open takeover record, and adopts the record of an unfinished takeover.
    /// Returns false when the takeover is superseded or the record was not written.
    boost::asio::awaitable<bool> open_record(takeover& current) {
        if (!is_current(current)) {
            log_step(current, "record", "superseded");
            co_return false;
        }
        const auto known_record = control_.knowledge_.record_of(current.service_);
        current.primary_term_ = known_record ? (*known_record)->primary_term_ : 0;
        if (known_record && (*known_record)->phase_ != daemons::takeover_phase::settled) {
            current.record_ = *known_record;
            current.replaced_ = (*known_record)->replaced_;
            current.recorded_at_ = base::clock::now();
            co_return true;
        }
        std::string empty_id;
        const bool is_written =
            co_await write_record(current, daemons::takeover_phase::open, std::move(empty_id));
        current.recorded_at_ = base::clock::now();
        co_return is_written;
    }

    /// Writes the takeover record in a transaction that fails if another daemon changed the record or if this
    /// daemon is no longer the leader. Returns whether the record is in the store.
    boost::asio::awaitable<bool> write_record(takeover& current, daemons::takeover_phase phase,
                                              std::string chosen_id) {
        if (!is_current(current)) {
            co_return false;
        }
        const auto era = current.claim_.leadership_.era();
        const base::store_revision previous_revision{era, current.claim_.record_.number()};
        const bool is_settled = phase == daemons::takeover_phase::settled;
        daemons::takeover_record_fields fields{current.service_,
                                               phase,
                                               current.replaced_,
                                               std::move(chosen_id),
                                               base::store_revision{era, 0},
                                               is_settled ? current.new_term_ : current.primary_term_};
        platform::store_transaction change;
        change.expected_.push_back({std::string{fleet_keys::leadership}, current.claim_.leadership_});
        change.expected_.push_back({fleet_keys::takeover(current.service_), previous_revision});
        change.puts_.push_back({fleet_keys::takeover(current.service_),
                                daemons::encode_record(daemons::takeover_record{fields}), 0});
        // Uses a separate connection because takeovers of several services may run concurrently.
        typename Platform::store store{control_.settings_->store_address_, store_timeout,
                                       control_.store_history_};
        const auto result = co_await store.change(std::move(change));
        if (!result || !result->applied_) {
            log_step(current, "record",
                     result ? "the record or the leadership has changed" : result.last_reason().to_string());
            co_return co_await wait_for_record(current, fields);
        }
        fields.revision_ = result->revision_;
        set_record(current, daemons::takeover_record{std::move(fields)});
        control_.adopt(current.record_);
        co_return true;
    }

    static void set_record(takeover& current, daemons::takeover_record record) {
        current.claim_.record_ = record->revision_;
        current.record_ = std::move(record);
    }

    /// Waits, after a lost response of the store, for a poll that shows whether the record was written. A
    /// record with different contents supersedes the takeover. Returns whether the wanted record was written.
    boost::asio::awaitable<bool> wait_for_record(takeover& current,
                                                 daemons::takeover_record_fields expected) {
        const auto end = base::clock::now() + lost_response_timeout;
        while (base::clock::now() < end) {
            co_await http::sleep_for(suspicion_interval);
            const auto known_record = control_.knowledge_.record_of(current.service_);
            if (known_record && (*known_record)->revision_.is_later_than(current.claim_.record_)) {
                expected.revision_ = (*known_record)->revision_;
                const bool is_expected = *known_record == daemons::takeover_record{expected};
                if (!is_expected) {
                    co_return false;
                }
                set_record(current, *known_record);
                co_return is_current(current);
            }
        }
        co_return false;
    }

    /// Waits until no daemon uses the replaced primary: every daemon has confirmed that it stopped, or the
    /// primary leases of the silent daemons have expired. That the primary has stepped down is not enough: it
    /// refuses writes then, but still answers the reads of a daemon that has not heard of the takeover.
    /// Returns whether the takeover may continue.
    boost::asio::awaitable<bool> stop_using_primary(takeover& current) {
        const auto grace = current.reason_ == takeover_reason::planned ? planned_grace : failed_grace;
        boost::asio::co_spawn(control_.context_,
                              control_.drain_database(current.service_, current.replaced_, grace),
                              control_.log_failures("drain"));
        const auto started_at = base::clock::now();
        const auto step_down_at = started_at + grace + step_down_delay;
        bool has_stepped_down = false;
        auto next_request_at = started_at;
        for (;;) {
            if (base::clock::now() >= next_request_at) {
                peers_.request_stop(current.record_, grace);
                next_request_at = base::clock::now() + stop_repeat_interval;
            }
            co_await http::sleep_for(stop_check_interval);
            if (!is_current(current)) {
                log_step(current, "stop", "superseded");
                co_return false;
            }
            const auto unstopped_peers = peers_.find_unstopped_peers(current.record_);
            const auto now = base::clock::now();
            // A daemon that is not on the list yet may have registered since the last read and used the
            // primary before the record was written, or may have displaced this one as a candidate.
            const bool is_list_fresh = control_.fleet_read_requested_at_ >= current.recorded_at_;
            if (!is_list_fresh) {
                control_.poll_requested_.notify_all();
            }
            if (is_list_fresh && unstopped_peers.empty() && now >= started_at + grace) {
                log_step(current, "stop", "all daemons answered");
                break;
            }
            if (now >= step_down_at && !has_stepped_down) {
                has_stepped_down = co_await step_down(current);
            }
            if (is_list_fresh && have_primary_leases_expired(current, now)) {
                log_step(current, "stop",
                         "evidence lapsed for " + std::to_string(unstopped_peers.size()) + " silent daemons");
                break;
            }
        }
        const bool may_still_lead =
            current.reason_ == takeover_reason::planned || current.reason_ == takeover_reason::unfinished;
        if (!has_stepped_down && may_still_lead) {
            co_await step_down(current);
        }
        co_return true;
    }

    /// Returns whether every primary lease from before the record has expired, also on daemons that do not
    /// answer. Precondition: the fleet's keys were read after the record was written.
    [[nodiscard]] bool have_primary_leases_expired(const takeover& current,
                                                   base::clock::time_point now) const {
        if (!control_.registered_at_ || !control_.leadership_) {
            return false;
        }
        daemons::takeover_times times{current.recorded_at_, *control_.registered_at_,
                                      control_.candidate_since_, control_.leadership_->acquired_at_};
        if (!control_.has_led_until_return_) {
            // Daemons of an earlier history of the store may not have known this one as a possible leader.
            times.registered_at_ = std::max(times.registered_at_, control_.history_entered_at_);
        }
        return now >= daemons::latest_lease_expiry(times) + lease_expiry_margin;
    }

    /// Requests that the replaced primary becomes a replica. Returns whether it confirmed the role.
    boost::asio::awaitable<bool> step_down(takeover& current) {
        const auto listing = control_.knowledge_.find_database(current.replaced_);
        if (!listing) {
            co_return false;
        }
        auto status_request = protocol::status();
        auto report = co_await send_request(*listing, std::move(status_request));
        if (!report) {
            co_return false;
        }
        const bool has_led =
            report->role_ == backends::listed_role::primary &&
            (current.primary_term_ == daemons::unknown_term || report->term_ >= current.primary_term_);
        if (report->role_ == backends::listed_role::primary) {
            auto step_down_request = protocol::step_down(report->term_ + 1);
            report = co_await send_request(*listing, std::move(step_down_request));
        }
        const bool is_replica = report && report->role_ == backends::listed_role::replica;
        if (report) {
            current.final_position_ = report->received_;
            // A database that was a replica before may have started again without its log.
            current.is_final_position_complete_ = has_led || current.is_final_position_complete_;
        }
        log_step(current, "step down", is_replica ? "done" : "not confirmed");
        co_return is_replica;
    }

    /// Sends one request to a database, see `ask_database`.
    boost::asio::awaitable<base::result<backends::database_report>>
    send_request(backends::database_listing database, std::string message) {
        co_return co_await ask_database<protocol>(control_.context_, std::move(database), std::move(message));
    }

    /// Requests the status of every database of a service and waits until one of them answers. Stores what
    /// all of them have reported since the primary was stopped.
    boost::asio::awaitable<void> collect_reports(const takeover& current,
                                                 candidate_reports<protocol>& reports,
                                                 backends::promotion_state& state) {
        const auto databases = control_.knowledge_.databases_of(current.service_);
        reports.ask(databases, base::clock::now());
        co_await reports.wait_for_change(promotion_poll_interval);
        const auto now = base::clock::now();
        const auto is_replaced = [&current](const auto& one) {
            return one.id_ == current.replaced_;
        };
        state.candidates_ = reports.reported(now);
        state.missing_ = reports.missing(now);
        state.returned_primary_.reset();
        const auto replaced = std::find_if(state.candidates_.begin(), state.candidates_.end(), is_replaced);
        const bool is_unchanged = current.record_->phase_ == daemons::takeover_phase::open;
        if (replaced != state.candidates_.end() && is_unchanged &&
            replaced->report_.role_ == backends::listed_role::primary) {
            state.returned_primary_ = *replaced;
        }
        std::erase_if(state.candidates_, is_replaced);
        std::erase_if(state.missing_, is_replaced);
        state.sync_replicas_ = sync_replicas_of(current.service_);
        state.final_position_ = current.final_position_;
        state.is_final_position_complete_ = current.is_final_position_complete_;
        state.is_final_position_missing_ =
            current.reason_ == takeover_reason::planned && !current.final_position_;
    }

    /// Returns how many replicas have received a commit of a service when it is acknowledged, by the
    /// configuration in force.
    [[nodiscard]] std::uint32_t sync_replicas_of(const std::string& service) const {
        return control_.shared_.routes_.read([&service](const auto& routes) {
            const auto found = routes->services_.find(service);
            return found == routes->services_.end() ? 0U : found->second.sync_replicas_;
        });
    }

    /// Logs which databases a takeover waits for, and why, whenever that changes. Counts them.
    void log_missing_reports(const takeover& current, const backends::promotion_state& state,
                             std::string& last_logged) {
        std::string missing;
        for (const auto& one : state.missing_) {
            if (!one.reason_.empty()) {
                missing.append(missing.empty() ? "" : ", ").append(one.id_ + " (" + one.reason_ + ")");
            }
        }
        note_missing_reports(current.service_, state.missing_);
        if (!missing.empty() && missing != last_logged) {
            log_step(current, "reports",
                     "waiting for " + missing +
                         ", synchronous replicas: " + std::to_string(state.sync_replicas_));
            last_logged = std::move(missing);
        }
    }

    /// Logs the reports on which the choice of a database rests.
    void log_choice(const takeover& current, const backends::promotion_state& state) {
        std::string reports;
        for (const auto& one : state.candidates_) {
            const auto& received = one.report_.received_;
            reports.append(one.id_)
                .append(one.is_draining_ ? "(draining) " : " ")
                .append(std::to_string(received.term()) + "." + std::to_string(received.index()))
                .append(", ");
        }
        log_step(current, "reports", reports + std::to_string(state.missing_.size()) + " missing");
    }

    void note_missing_reports(const std::string& service,
                              const std::vector<backends::missing_report>& missing) {
        if (missing.empty()) {
            missing_reports_.erase(service);
        } else {
            missing_reports_[service] = missing.size();
        }
        std::uint64_t total = 0;
        for (const auto& [name, count] : missing_reports_) {
            total += count;
        }
        control_.shared_.counters_.takeover_reports_missing_.store(total, std::memory_order_relaxed);
    }

    /// Promotes a database and settles the record. Retries until the takeover is superseded or this daemon is
    /// no longer the leader.
    boost::asio::awaitable<void> promote_until_settled(takeover& current) {
        const auto started_at = base::clock::now();
        // The reports from before a promotion request are out of date when that has failed.
        auto collecting_since = started_at;
        const auto reports = std::make_shared<candidate_reports<protocol>>(
            control_.context_, control_.log_failures("status request"));
        std::string last_logged;
        backends::promotion_state state;
        state.primary_term_ = current.primary_term_;
        if (current.record_->phase_ == daemons::takeover_phase::promoting) {
            state.target_ = current.record_->chosen_;
            current.promotion_requested_at_ = base::clock::now();
        }
        while (may_promote(current)) {
            const auto now = base::clock::now();
            state.may_wait_ = now - started_at < catch_up_timeout;
            state.may_wait_for_reports_ = now - collecting_since < missing_reports_timeout;
            const bool is_choosing = !state.target_ || state.is_target_refused_;
            if (is_choosing) {
                co_await collect_reports(current, *reports, state);
            }
            const auto choice = backends::choose_promotion(state);
            if (is_choosing && choice.step_ == backends::promotion_step::request) {
                log_choice(current, state);
                note_missing_reports(current.service_, {});
            }
            if (choice.step_ == backends::promotion_step::complete) {
                const bool is_settled = co_await complete(current, choice.database_);
                if (is_settled) {
                    co_return;
                }
            } else if (choice.step_ == backends::promotion_step::request) {
                co_await promote(current, choice.database_, state);
                collecting_since = base::clock::now();
                continue;
            } else {
                if (!state.may_wait_for_reports_) {
                    state.refused_.clear();
                    state.futile_.clear();
                }
                log_missing_reports(current, state, last_logged);
                co_await demote_replaced_primaries(current, state);
                if (state.is_final_position_missing_ && state.may_wait_for_reports_) {
                    co_await step_down(current);
                }
                continue;
            }
            co_await http::sleep_for(promotion_poll_interval);
        }
        log_step(current, "promote", "superseded or no longer the leader");
    }

    /// Makes candidates that may be replaced primaries replicas, so that one of them can be promoted.
    boost::asio::awaitable<void> demote_replaced_primaries(const takeover& current,
                                                           const backends::promotion_state& state) {
        for (const auto& candidate : state.candidates_) {
            if (!backends::may_be_replaced_primary(state, candidate)) {
                continue;
            }
            const auto listing = control_.knowledge_.find_database(candidate.id_);
            if (listing) {
                auto step_down_request = protocol::step_down(candidate.report_.term_ + 1);
                const auto report = co_await send_request(*listing, std::move(step_down_request));
                log_step(current, "step down", candidate.id_ + (report ? " answered" : " did not answer"));
            }
        }
    }

    /// Records a promotion request in the store, sends it and waits until the database reports its new role.
    boost::asio::awaitable<void> promote(takeover& current, std::string candidate,
                                         backends::promotion_state& state) {
        const bool is_recorded = current.record_->phase_ == daemons::takeover_phase::promoting &&
                                 current.record_->chosen_ == candidate;
        if (!is_recorded) {
            auto id = candidate;
            const bool is_written =
                co_await write_record(current, daemons::takeover_phase::promoting, std::move(id));
            if (!is_written) {
                co_await http::sleep_for(promotion_poll_interval);
                co_return;
            }
        }
        if (!may_promote(current)) {
            co_return;
        }
        if (state.target_ != candidate) {
            current.promotion_requested_at_.reset();
            state.ineffective_requests_ = 0;
        }
        state.target_ = candidate;
        state.is_target_refused_ = false;
        backends::promotion_request request{current.service_, candidate, control_.settings_->name_,
                                            daemons::fencing_token(current.claim_.leadership_)};
        std::function<bool()> may_send{[this, &current] {
            return may_promote(current);
        }};
        ++control_.pending_promotions_;
        const auto outcome = co_await promoter_.promote(std::move(request), std::move(may_send));
        --control_.pending_promotions_;
        log_step(current, "promote", candidate + " outcome " + std::to_string(static_cast<int>(outcome)));
        const auto now = base::clock::now();
        if (outcome == backends::promotion_outcome::not_sent) {
            co_await http::sleep_for(promotion_poll_interval);
            co_return;
        }
        if (outcome == backends::promotion_outcome::refused) {
            const auto since_request = current.promotion_requested_at_
                                           ? std::optional{now - *current.promotion_requested_at_}
                                           : std::nullopt;
            if (backends::is_refusal_final(since_request)) {
                state.is_target_refused_ = true;
                state.refused_.insert(candidate);
                co_await http::sleep_for(promotion_poll_interval);
                co_return;
            }
        } else {
            current.promotion_requested_at_ = now;
        }
        current.new_term_ = daemons::unknown_term;
        state.is_target_leading_ = co_await wait_until_primary(current, candidate);
        if (outcome != backends::promotion_outcome::accepted) {
            state.ineffective_requests_ = 0;
        } else if (!state.is_target_leading_) {
            co_await note_ineffective_request(current, state);
        }
    }

    /// Gives the target up if requests for its promotion are accepted without effect. Precondition: there is
    /// a target, and the effect of the last request for it is overdue.
    boost::asio::awaitable<void> note_ineffective_request(const takeover& current,
                                                          backends::promotion_state& state) {
        const auto target = *state.target_;
        const auto listing = control_.knowledge_.find_database(target);
        if (!listing) {
            co_return;
        }
        auto status_request = protocol::status();
        const auto report = co_await send_request(*listing, std::move(status_request));
        // A database that does not answer may lead unnoticed.
        const bool is_replica = report && report->role_ == backends::listed_role::replica;
        state.ineffective_requests_ = is_replica ? state.ineffective_requests_ + 1 : 0;
        if (backends::is_promotion_futile(state.ineffective_requests_)) {
            state.is_target_refused_ = true;
            state.futile_.insert(target);
            state.ineffective_requests_ = 0;
            log_step(current, "promote", target + " accepted without effect");
        }
    }

    /// Waits until a database is the primary, up to `promotion_effect_timeout`. Returns whether it is, and
    /// stores its term if that was observed. Precondition: the database was a replica or the platform's
    /// primary when its promotion was requested, so that its role proves the promotion.
    boost::asio::awaitable<bool> wait_until_primary(takeover& current, std::string candidate) {
        const auto end = base::clock::now() + promotion_effect_timeout;
        // If the server list already showed the primary role, the entry may predate the request and proves
        // nothing.
        const auto first = control_.knowledge_.find_database(candidate);
        const bool was_listed_as_primary = first && (*first)->role_ == backends::listed_role::primary;
        while (base::clock::now() < end) {
            co_await http::sleep_for(promotion_poll_interval);
            const auto listing = control_.knowledge_.find_database(candidate);
            if (!listing) {
                co_return false;
            }
            if (!was_listed_as_primary && (*listing)->role_ == backends::listed_role::primary) {
                co_return true;
            }
            auto status_request = protocol::status();
            const auto report = co_await send_request(*listing, std::move(status_request));
            if (report && report->role_ == backends::listed_role::primary) {
                current.new_term_ = report->term_;
                co_return true;
            }
        }
        co_return false;
    }

    /// Marks the record as settled and sends it to the peers. Returns whether it was written.
    boost::asio::awaitable<bool> complete(takeover& current, std::string new_primary) {
        auto chosen_id = new_primary;
        const bool is_written =
            co_await write_record(current, daemons::takeover_phase::settled, std::move(chosen_id));
        if (!is_written) {
            co_return false;
        }
        demoted_at_.erase(current.service_);
        peers_.announce_record(current.record_);
        base::log_event(events::takeover_settled,
                        {{"service", current.service_},
                         {"primary", new_primary},
                         {"took_ms", std::to_string((base::clock::now() - current.recorded_at_).count())}});
        co_return true;
    }

    /// Marks the registrations of daemons that do not answer, and removes them once their primary leases must
    /// have expired.
    boost::asio::awaitable<void> remove_silent_daemons(base::clock::time_point now) {
        if (!is_leader(now) || now - control_.leadership_->acquired_at_ < silence_before_mark ||
            now < next_removal_) {
            co_return;
        }
        next_removal_ = now + removal_interval;
        const auto registrations = control_.knowledge_.registrations();
        for (const auto& [address, entry] : registrations) {
            const auto last_message_at = peers_.last_message_time(address);
            const bool is_silent = address != control_.address_ &&
                                   (!last_message_at || now - *last_message_at > silence_before_mark);
            if (is_silent) {
                co_await mark_or_remove(*entry, now);
            }
        }
    }

    boost::asio::awaitable<void> mark_or_remove(daemons::registration_fields entry,
                                                base::clock::time_point now) {
        platform::store_transaction change;
        change.expected_.push_back({std::string{fleet_keys::leadership}, control_.leadership_->revision_});
        change.expected_.push_back({fleet_keys::daemon(entry.address_), entry.revision_});
        const bool is_removal = entry.is_marked_;
        if (!is_removal) {
            entry.is_marked_ = true;
            change.puts_.push_back({fleet_keys::daemon(entry.address_),
                                    daemons::encode_registration(daemons::registration{entry}), 0});
        } else {
            const auto [marked, is_new] =
                marked_at_.try_emplace(std::pair{entry.revision_.era(), entry.revision_.number()}, now);
            const daemons::primary_lease_limits limits;
            if (is_new || now - marked->second <
                              limits.valid_for_ + limits.peer_rounds_valid_for_ + lease_expiry_margin) {
                co_return;
            }
            change.removals_.push_back(fleet_keys::daemon(entry.address_));
        }
        typename Platform::store store{control_.settings_->store_address_, store_timeout,
                                       control_.store_history_};
        const auto result = co_await store.change(std::move(change));
        if (result && result->applied_) {
            base::log_event(events::registration_changed,
                            {{"daemon", entry.address_}, {"state", is_removal ? "removed" : "marked"}});
        }
    }

    static constexpr base::clock::duration monitoring_interval{200};
    static constexpr base::clock::duration suspicion_interval{60};
    static constexpr base::clock::duration store_timeout{700};
    static constexpr base::clock::duration lost_response_timeout{3'000};
    // Long enough for a transaction of a dozen statements, and well below the time that a database takes to
    // leave.
    static constexpr base::clock::duration planned_grace{400};
    static constexpr base::clock::duration failed_grace{0};
    static constexpr base::clock::duration step_down_delay{200};
    static constexpr base::clock::duration stop_check_interval{30};
    // Datagrams are lost rarely, and a daemon responds only after its statements have ended.
    static constexpr base::clock::duration stop_repeat_interval{90};
    // Covers timers that fire late.
    static constexpr base::clock::duration lease_expiry_margin{300};
    static constexpr base::clock::duration catch_up_timeout{1'500};
    // For services without synchronous replicas, whose operator accepts the loss of the newest commits: as
    // long as one request to a database that does not answer.
    static constexpr base::clock::duration missing_reports_timeout{600};
    static constexpr base::clock::duration promotion_poll_interval{60};
    static constexpr base::clock::duration promotion_effect_timeout{3'000};
    // Several consecutive requests without a response.
    static constexpr base::clock::duration silence_before_mark{9'000};
    static constexpr base::clock::duration removal_interval{1'000};

    control_context<Platform>& control_;
    peer_exchange<Platform>& peers_;
    typename Platform::promoter promoter_;
    std::map<std::string, base::clock::time_point> demoted_at_;
    /// By service.
    std::map<std::string, draining_primary> draining_;
    /// Since when the primary of a service has been unknown.
    std::map<std::string, base::clock::time_point> unknown_since_;
    /// How many databases the takeover of a service waits for.
    std::map<std::string, std::size_t> missing_reports_;
    /// When a marked registration was first seen, by its revision.
    std::map<std::pair<base::store_era, std::uint64_t>, base::clock::time_point> marked_at_;
    base::clock::time_point next_removal_{};
};

} // namespace proxy
