#pragma once

#include <backends/primary_promoter.hpp>
#include <backends/promotion_choice.hpp>
#include <backends/statement_connection.hpp>
#include <base/clock.hpp>
#include <base/event.hpp>
#include <daemons/takeover_claim.hpp>
#include <daemons/takeover_decision.hpp>
#include <daemons/takeover_record.hpp>
#include <http/sleep.hpp>
#include <platform/store_transaction.hpp>
#include <proxy/control_context.hpp>
#include <proxy/fleet_keys.hpp>
#include <proxy/peer_exchange.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace proxy {

/// Replaces primaries while this daemon holds the duty. Thread safety: control thread.
template <typename Platform>
class takeover_runner {
public:
    takeover_runner(control_context<Platform>& control, peer_exchange<Platform>& peers)
        : control_{control}, peers_{peers}, promoter_{control.settings_->promotion_address_,
                                                      promote_timeout} {}

    /// Watches the primaries until the process ends.
    [[nodiscard]] boost::asio::awaitable<void> watch() {
        for (;;) {
            co_await control_.collect_healths();
            const auto now = base::clock::now();
            // An entry may lapse although its database lives and serves; one that does not come back in most
            // of the time that a leaving database is given counts as gone.
            const auto grace = control_.settings_->leaving_ * 3 / 4;
            if (control_.knowledge_.forget_vanished(grace, now)) {
                control_.publish();
            }
            bool is_suspecting = false;
            const auto fleet = control_.shared_.fleet_.get();
            for (const auto& [service, view] : (*fleet)->services_) {
                is_suspecting = look_at(service, *view, now) || is_suspecting;
            }
            peers_.set_suspecting(is_suspecting);
            co_await remove_silent_daemons(now);
            co_await http::sleep_for(is_suspecting ? hasty_period : calm_period);
        }
    }

    /// Returns whether a takeover that this daemon began is under way.
    [[nodiscard]] bool is_busy() const noexcept { return !control_.active_takeovers_.empty(); }

private:
    using protocol = typename Platform::protocol;
    using connection = backends::statement_connection<protocol>;

    enum class takeover_reason : std::uint8_t { planned, failed, unfinished };

    /// One replacement of a primary.
    struct takeover {
        std::string service_;
        std::string replaced_;
        takeover_reason reason_ = takeover_reason::failed;
        daemons::takeover_claim claim_;
        daemons::takeover_record record_;
        /// When the record was known to be in the store.
        base::clock::time_point recorded_at_{};
        /// When the present target may last have been ordered to lead, by this daemon or the holder before.
        std::optional<base::clock::time_point> ordered_at_;
    };

    [[nodiscard]] bool is_leader(base::clock::time_point now) const {
        return control_.leadership_ && now - control_.leadership_->verified_at_ < leadership_freshness;
    }

    [[nodiscard]] std::uint64_t known_revision(const std::string& service) const {
        const auto known = control_.knowledge_.record_of(service);
        return known ? (*known)->revision_ : 0;
    }

    /// Returns whether a takeover still rests on the duty and the record that it began with.
    [[nodiscard]] bool is_current(const takeover& current) const {
        const auto token = control_.leadership_ ? std::optional{control_.leadership_->token_} : std::nullopt;
        return daemons::is_current(current.claim_, token, known_revision(current.service_));
    }

    /// Returns whether a takeover may send an order now.
    [[nodiscard]] bool may_order(const takeover& current) const {
        return is_current(current) && is_leader(base::clock::now());
    }

    /// Starts what a service needs. Returns whether its primary is suspected.
    bool look_at(const std::string& service, const backends::service_view_fields& view,
                 base::clock::time_point now) {
        const auto condition = condition_of(service, view, now);
        const auto decision = daemons::decide_takeover(condition);
        if (decision == daemons::takeover_decision::ask_peers) {
            probe_if_vanished(service, condition);
            if (!control_.leadership_ && condition.failing_for_) {
                peers_.tell_suspicion(service, view.primary_);
            }
            return true;
        }
        if (decision == daemons::takeover_decision::nothing || !is_leader(now) ||
            control_.active_takeovers_.contains(service) || control_.is_draining_) {
            return condition.failing_for_.has_value();
        }
        if (decision == daemons::takeover_decision::finish) {
            // An order of the earlier holder may be under way for as long as it trusted its duty.
            const bool has_to_wait =
                !control_.leadership_->has_predecessor_resigned_ &&
                now - control_.leadership_->taken_at_ < leadership_freshness + promote_timeout;
            if (has_to_wait) {
                return false;
            }
        }
        control_.active_takeovers_.insert(service);
        takeover begun;
        begun.service_ = service;
        begun.replaced_ = view.primary_;
        begun.reason_ = reason_of(decision);
        begun.claim_ = {control_.leadership_->token_, known_revision(service)};
        boost::asio::co_spawn(control_.context_, replace(std::move(begun)), boost::asio::detached);
        return true;
    }

    static takeover_reason reason_of(daemons::takeover_decision decision) {
        switch (decision) {
        case daemons::takeover_decision::replace_planned:
            return takeover_reason::planned;
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
        if (view.primary_.empty()) {
            return condition;
        }
        condition.is_being_replaced_ = view.primary_state_ == backends::primary_state::being_replaced;
        const auto listing = control_.knowledge_.find_database(view.primary_);
        if (listing) {
            condition.is_draining_ = (*listing)->state_ == backends::listed_state::draining;
            note_demotion(service, *listing, now);
        }
        if (const auto since = demoted_since_.find(service); since != demoted_since_.end()) {
            condition.demoted_for_ = now - since->second;
        }
        const auto vanished = control_.knowledge_.vanished_since(view.primary_);
        if (vanished || !listing) {
            condition.unlisted_for_ = vanished ? now - *vanished : base::clock::duration{0};
        }
        const auto health = control_.healths_.find(service);
        if (health != control_.healths_.end() && health->second.database_ == view.primary_) {
            condition.failing_for_ = health->second.failing_for_;
        }
        if (!listing) {
            // A database that is no longer known cannot be asked.
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

    void note_demotion(const std::string& service, const backends::database_listing& primary,
                       base::clock::time_point now) {
        const auto record = control_.knowledge_.record_of(service);
        const bool is_settled = record && (*record)->phase_ == daemons::takeover_phase::settled;
        if (is_settled && primary->role_ == backends::listed_role::replica) {
            demoted_since_.try_emplace(service, now);
        } else {
            demoted_since_.erase(service);
        }
    }

    void probe_if_vanished(const std::string& service, const daemons::primary_condition& condition) {
        if (condition.unlisted_for_ && !condition.failing_for_) {
            control_.probe_primary(service);
        }
    }

    /// Replaces a primary, step by step; each step is in the log.
    boost::asio::awaitable<void> replace(takeover current) {
        base::log_event(events::takeover_begun, {{"service", current.service_},
                                                 {"primary", current.replaced_},
                                                 {"reason", reason_name(current.reason_)}});
        const bool is_open = co_await open_record(current);
        if (is_open) {
            const bool is_stopped = co_await stop_all(current);
            if (is_stopped) {
                co_await promote_until_settled(current);
            }
        }
        control_.active_takeovers_.erase(current.service_);
    }

    static const char* reason_name(takeover_reason reason) {
        switch (reason) {
        case takeover_reason::planned:
            return "draining";
        case takeover_reason::failed:
            return "failed";
        case takeover_reason::unfinished:
            return "unfinished";
        }
        return "";
    }

    void log_step(const takeover& current, const char* step, std::string result) {
        base::log_event(events::takeover_step,
                        {{"service", current.service_}, {"step", step}, {"result", std::move(result)}});
    }

    /// Makes sure that an open record is in the store.
    boost::asio::awaitable<bool> open_record(takeover& current) {
        if (!is_current(current)) {
            log_step(current, "record", "superseded");
            co_return false;
        }
        const auto known = control_.knowledge_.record_of(current.service_);
        if (known && (*known)->phase_ != daemons::takeover_phase::settled) {
            current.record_ = *known;
            current.replaced_ = (*known)->replaced_;
            current.recorded_at_ = base::clock::now();
            co_return true;
        }
        std::string nobody;
        const bool is_written =
            co_await write_record(current, daemons::takeover_phase::open, std::move(nobody));
        current.recorded_at_ = base::clock::now();
        co_return is_written;
    }

    /// Writes the record under the condition that nobody else did and that the duty is still held.
    boost::asio::awaitable<bool> write_record(takeover& current, daemons::takeover_phase phase,
                                              std::string chosen) {
        if (!is_current(current)) {
            co_return false;
        }
        const auto before = current.claim_.record_revision_;
        daemons::takeover_record_fields fields{current.service_, phase, current.replaced_, std::move(chosen),
                                               0};
        platform::store_transaction change;
        change.expected_.push_back({std::string{fleet_keys::leadership}, current.claim_.token_});
        change.expected_.push_back({fleet_keys::takeover(current.service_), before});
        change.puts_.push_back({fleet_keys::takeover(current.service_),
                                daemons::encode_record(daemons::takeover_record{fields}), 0});
        // A connection of its own: several services may be replaced at the same time.
        typename Platform::store store{control_.settings_->store_address_, store_timeout};
        const auto result = co_await store.change(std::move(change));
        if (!result || !result->applied_) {
            log_step(current, "record",
                     result ? "another change came first" : result.last_reason().to_string());
            co_return co_await wait_for_record(current, fields);
        }
        fields.revision_ = result->revision_;
        take_record(current, daemons::takeover_record{std::move(fields)});
        control_.adopt(current.record_);
        co_return true;
    }

    static void take_record(takeover& current, daemons::takeover_record record) {
        current.claim_.record_revision_ = record->revision_;
        current.record_ = std::move(record);
    }

    /// After a lost answer, waits for a poll that shows whether the record was written. A record with another
    /// content leaves the takeover superseded.
    boost::asio::awaitable<bool> wait_for_record(takeover& current, daemons::takeover_record_fields wanted) {
        const auto end = base::clock::now() + lost_response_timeout;
        while (base::clock::now() < end) {
            co_await http::sleep_for(hasty_period);
            const auto known = control_.knowledge_.record_of(current.service_);
            if (known && (*known)->revision_ > current.claim_.record_revision_) {
                wanted.revision_ = (*known)->revision_;
                const bool is_wanted = *known == daemons::takeover_record{wanted};
                if (!is_wanted) {
                    co_return false;
                }
                take_record(current, *known);
                co_return is_current(current);
            }
        }
        co_return false;
    }

    /// Makes sure that no daemon uses the replaced primary: each has answered, or the primary has stepped
    /// down, or the evidence of those that are silent has lapsed. Returns whether the takeover may go on.
    boost::asio::awaitable<bool> stop_all(const takeover& current) {
        const auto grace = current.reason_ == takeover_reason::planned ? planned_grace : failed_grace;
        boost::asio::co_spawn(control_.context_,
                              control_.drain_database(current.service_, current.replaced_, grace),
                              boost::asio::detached);
        const auto started_at = base::clock::now();
        const auto polite_until = started_at + grace + polite_wait;
        bool has_stepped_down = false;
        for (;;) {
            peers_.ask_to_stop(current.record_, grace);
            co_await http::sleep_for(stop_period);
            if (!is_current(current)) {
                log_step(current, "stop", "superseded");
                co_return false;
            }
            const auto missing = peers_.not_stopped(current.record_);
            const auto now = base::clock::now();
            // A daemon may have registered since the last read, and used the primary before the record was
            // there.
            const bool is_list_fresh = control_.fleet_read_at_ >= current.recorded_at_;
            if (!is_list_fresh) {
                control_.poll_soon_.notify_all();
            }
            if (is_list_fresh && missing.empty() && now >= started_at + grace) {
                log_step(current, "stop", "all daemons answered");
                break;
            }
            if (now >= polite_until && !has_stepped_down) {
                has_stepped_down = co_await step_down(current);
            }
            if (has_stepped_down && now >= polite_until) {
                log_step(current, "stop", "the primary stepped down");
                break;
            }
            if (has_primary_lease_expired(current, now)) {
                log_step(current, "stop",
                         "evidence lapsed for " + std::to_string(missing.size()) + " silent daemons");
                break;
            }
        }
        if (!has_stepped_down && current.reason_ != takeover_reason::failed) {
            co_await step_down(current);
        }
        co_return true;
    }

    /// Returns whether all evidence from before the record has ended, also at daemons that do not answer.
    [[nodiscard]] bool has_primary_lease_expired(const takeover& current, base::clock::time_point now) const {
        if (!control_.registered_at_) {
            return false;
        }
        const daemons::primary_lease_limits limits;
        // Daemons that have not heard of this one may hold a round of the others as evidence.
        const auto known_to_all_at = *control_.registered_at_ + limits.peer_rounds_valid_for_;
        return now >= std::max(current.recorded_at_, known_to_all_at) + limits.valid_for_ + lapse_margin;
    }

    /// Orders the replaced primary to become a replica. Returns whether it has answered that it is one.
    boost::asio::awaitable<bool> step_down(const takeover& current) {
        const auto listing = control_.knowledge_.find_database(current.replaced_);
        if (!listing) {
            co_return false;
        }
        auto status_request = protocol::status();
        auto report = co_await ask(*listing, std::move(status_request));
        if (!report) {
            co_return false;
        }
        if (report->role_ == backends::listed_role::primary) {
            auto request = protocol::step_down(report->term_ + 1);
            report = co_await ask(*listing, std::move(request));
        }
        const bool is_replica = report && report->role_ == backends::listed_role::replica;
        if (report) {
            final_positions_[current.service_] = report->received_;
        }
        log_step(current, "step down", is_replica ? "done" : "not confirmed");
        co_return is_replica;
    }

    /// Sends one question to a database on a connection of its own.
    boost::asio::awaitable<std::optional<backends::database_report>> ask(backends::database_listing database,
                                                                         std::string message) {
        backends::open_failure failure;
        backends::connection_timeouts times;
        times.open_timeout_ = ask_limit;
        const auto opened =
            co_await connection::open(control_.context_.get_executor(), database, times, failure);
        if (!opened) {
            co_return std::nullopt;
        }
        const auto expires_at = base::clock::now() + ask_limit;
        const auto reply = co_await opened->run(std::move(message), 1, expires_at);
        opened->close();
        if (reply.status_ != backends::statement_status::done || reply.rows_.empty()) {
            co_return std::nullopt;
        }
        co_return protocol::decode_report(reply.rows_.front());
    }

    /// Asks the databases of a service that may lead it.
    boost::asio::awaitable<std::vector<backends::promotion_candidate>>
    find_candidates(const takeover& current) {
        std::vector<backends::promotion_candidate> found;
        for (const auto& one : control_.knowledge_.databases_of(current.service_)) {
            const bool may_lead =
                one->id_ != current.replaced_ && one->state_ == backends::listed_state::ready;
            if (!may_lead) {
                continue;
            }
            auto status_request = protocol::status();
            const auto report = co_await ask(one, std::move(status_request));
            if (report) {
                found.push_back({one->id_, *report});
            }
        }
        co_return found;
    }

    /// Orders a database to lead and records it. Gives up only when the duty is lost.
    boost::asio::awaitable<void> promote_until_settled(takeover& current) {
        const auto caught_up_by = base::clock::now() + catch_up_wait;
        backends::promotion_state state;
        if (current.record_->phase_ == daemons::takeover_phase::promoting) {
            state.target_ = current.record_->chosen_;
            current.ordered_at_ = base::clock::now();
        }
        if (const auto found = final_positions_.find(current.service_); found != final_positions_.end()) {
            state.final_position_ = found->second;
        }
        while (may_order(current)) {
            state.may_wait_ = base::clock::now() < caught_up_by;
            if (!state.target_ || state.is_target_refused_) {
                state.candidates_ = co_await find_candidates(current);
            }
            const auto choice = backends::choose_promotion(state);
            if (choice.step_ == backends::promotion_step::complete) {
                const bool is_settled = co_await complete(current, choice.database_);
                if (is_settled) {
                    co_return;
                }
            } else if (choice.step_ == backends::promotion_step::request) {
                co_await promote(current, choice.database_, state);
                continue;
            } else {
                state.refused_.clear();
            }
            co_await http::sleep_for(promote_poll);
        }
        log_step(current, "promote", "superseded, or the duty was lost");
    }

    /// Records an order, sends it and waits for its effect.
    boost::asio::awaitable<void> promote(takeover& current, std::string chosen,
                                         backends::promotion_state& state) {
        const bool is_recorded = current.record_->phase_ == daemons::takeover_phase::promoting &&
                                 current.record_->chosen_ == chosen;
        if (!is_recorded) {
            auto id = chosen;
            const bool is_written =
                co_await write_record(current, daemons::takeover_phase::promoting, std::move(id));
            if (!is_written) {
                co_await http::sleep_for(promote_poll);
                co_return;
            }
        }
        if (!may_order(current)) {
            co_return;
        }
        if (state.target_ != chosen) {
            current.ordered_at_.reset();
        }
        state.target_ = chosen;
        state.is_target_refused_ = false;
        backends::promotion_request request{current.service_, chosen, control_.settings_->name_,
                                            current.claim_.token_};
        ++control_.orders_under_way_;
        const auto outcome = co_await promoter_.promote(std::move(request));
        --control_.orders_under_way_;
        log_step(current, "promote", chosen + " outcome " + std::to_string(static_cast<int>(outcome)));
        const auto now = base::clock::now();
        if (outcome == backends::promotion_outcome::not_sent) {
            co_await http::sleep_for(promote_poll);
            co_return;
        }
        if (outcome == backends::promotion_outcome::refused) {
            const auto since = current.ordered_at_ ? std::optional{now - *current.ordered_at_} : std::nullopt;
            if (backends::is_refusal_final(since)) {
                state.is_target_refused_ = true;
                state.refused_.insert(chosen);
                co_await http::sleep_for(promote_poll);
                co_return;
            }
        } else {
            current.ordered_at_ = now;
        }
        state.is_target_leading_ = co_await wait_for_lead(chosen);
    }

    /// Waits until a database leads, at most for some seconds. Returns whether it does.
    boost::asio::awaitable<bool> wait_for_lead(std::string chosen) {
        const auto end = base::clock::now() + lead_wait;
        // An entry from the time of an earlier lead says nothing about the order.
        const auto first = control_.knowledge_.find_database(chosen);
        const bool was_listed_as_primary = first && (*first)->role_ == backends::listed_role::primary;
        while (base::clock::now() < end) {
            co_await http::sleep_for(promote_poll);
            const auto listing = control_.knowledge_.find_database(chosen);
            if (!listing) {
                co_return false;
            }
            if (!was_listed_as_primary && (*listing)->role_ == backends::listed_role::primary) {
                co_return true;
            }
            auto status_request = protocol::status();
            const auto report = co_await ask(*listing, std::move(status_request));
            if (report && report->role_ == backends::listed_role::primary) {
                co_return true;
            }
        }
        co_return false;
    }

    boost::asio::awaitable<bool> complete(takeover& current, std::string leading) {
        auto chosen = leading;
        const bool is_written =
            co_await write_record(current, daemons::takeover_phase::settled, std::move(chosen));
        if (!is_written) {
            co_return false;
        }
        final_positions_.erase(current.service_);
        demoted_since_.erase(current.service_);
        peers_.tell(current.record_);
        base::log_event(events::takeover_settled,
                        {{"service", current.service_},
                         {"primary", leading},
                         {"took_ms", std::to_string((base::clock::now() - current.recorded_at_).count())}});
        co_return true;
    }

    /// Marks the entries of daemons that are silent, and removes them once their evidence must have lapsed.
    boost::asio::awaitable<void> remove_silent_daemons(base::clock::time_point now) {
        if (!is_leader(now) || now - control_.leadership_->taken_at_ < silent_before_mark ||
            now < next_removal_) {
            co_return;
        }
        next_removal_ = now + removal_period;
        const auto registrations = control_.knowledge_.registrations();
        for (const auto& [address, entry] : registrations) {
            const auto heard = peers_.last_heard(address);
            const bool is_silent =
                address != control_.address_ && (!heard || now - *heard > silent_before_mark);
            if (is_silent) {
                co_await mark_or_remove(*entry, now);
            }
        }
    }

    boost::asio::awaitable<void> mark_or_remove(daemons::registration_fields entry,
                                                base::clock::time_point now) {
        platform::store_transaction change;
        change.expected_.push_back({std::string{fleet_keys::leadership}, control_.leadership_->token_});
        change.expected_.push_back({fleet_keys::daemon(entry.address_), entry.revision_});
        const bool is_removal = entry.is_marked_;
        if (!is_removal) {
            entry.is_marked_ = true;
            change.puts_.push_back({fleet_keys::daemon(entry.address_),
                                    daemons::encode_registration(daemons::registration{entry}), 0});
        } else {
            const auto [marked, is_new] = marked_at_.try_emplace(entry.revision_, now);
            const daemons::primary_lease_limits limits;
            if (is_new ||
                now - marked->second < limits.valid_for_ + limits.peer_rounds_valid_for_ + lapse_margin) {
                co_return;
            }
            change.removals_.push_back(fleet_keys::daemon(entry.address_));
        }
        typename Platform::store store{control_.settings_->store_address_, store_timeout};
        const auto result = co_await store.change(std::move(change));
        if (result && result->applied_) {
            base::log_event(events::registration_changed,
                            {{"daemon", entry.address_}, {"state", is_removal ? "removed" : "marked"}});
        }
    }

    static constexpr base::clock::duration calm_period{200};
    static constexpr base::clock::duration hasty_period{60};
    static constexpr base::clock::duration store_timeout{700};
    static constexpr base::clock::duration promote_timeout{600};
    // A holder orders nothing on the word of an older read of the store.
    static constexpr base::clock::duration leadership_freshness{1'600};
    static constexpr base::clock::duration lost_response_timeout{3'000};
    // Long enough for a transaction of a dozen statements, well below the time that a leaving database gives.
    static constexpr base::clock::duration planned_grace{400};
    static constexpr base::clock::duration failed_grace{0};
    static constexpr base::clock::duration polite_wait{200};
    static constexpr base::clock::duration stop_period{30};
    // Covers timers that fire late.
    static constexpr base::clock::duration lapse_margin{300};
    static constexpr base::clock::duration ask_limit{300};
    static constexpr base::clock::duration catch_up_wait{1'500};
    static constexpr base::clock::duration promote_poll{60};
    static constexpr base::clock::duration lead_wait{3'000};
    // Several questions that went unanswered.
    static constexpr base::clock::duration silent_before_mark{9'000};
    static constexpr base::clock::duration removal_period{1'000};

    control_context<Platform>& control_;
    peer_exchange<Platform>& peers_;
    typename Platform::promoter promoter_;
    std::map<std::string, base::clock::time_point> demoted_since_;
    /// Where the log of a replaced primary ended, if it said so.
    std::map<std::string, base::log_position> final_positions_;
    std::map<std::uint64_t, base::clock::time_point> marked_at_;
    base::clock::time_point next_removal_{};
};

} // namespace proxy
