#pragma once

#include <backends/acknowledgement_gate.hpp>
#include <backends/database_connection.hpp>
#include <backends/events.hpp>
#include <backends/failure_detector.hpp>
#include <backends/freshness_rounds.hpp>
#include <backends/group_view.hpp>
#include <backends/takeover.hpp>
#include <backends/takeover_damping.hpp>
#include <backends/takeover_trigger.hpp>
#include <backends/waiter_list.hpp>

#include <base/clock.hpp>
#include <base/endpoint.hpp>
#include <base/event.hpp>
#include <base/result.hpp>
#include <base/snapshot.hpp>
#include <operators/service_declaration.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <concepts>
#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace backends {

/// Requires a function object that asks a daemon in another failure domain whether it can reach a database.
/// The call must complete within `suspicion_check_timeout`.
template <typename Check>
concept suspicion_check = requires(Check& check, operators::database_declaration database) {
    { check(database) } -> std::same_as<boost::asio::awaitable<suspicion_result>>;
};

/// The configuration of a group monitor: its database group and the identity of its daemon.
struct group_monitor_settings {
    std::string group_;
    std::vector<operators::database_declaration> databases_;
    /// Identifies this run of this process in raise and promote requests; no other run of any process may use
    /// it.
    std::string proposer_;
    /// Seed of the jitter that keeps several owners of the group from starting takeovers at the same time.
    std::uint64_t random_seed_ = 0;

    friend auto operator<=>(const group_monitor_settings&, const group_monitor_settings&) = default;
};

/// The primary that statements of a group are sent to, and its term.
struct primary_location {
    std::string database_;
    base::endpoint address_;
    std::uint64_t term_ = 0;

    friend auto operator<=>(const primary_location&, const primary_location&) = default;
};

/// Monitors one database group: polls its databases, detects a failed primary, runs takeovers, and resumes
/// coroutines that wait for a primary, a committed position or a confirmed term.
///
/// It keeps at most one control connection to each database, which counts against the declared connections.
/// Thread safety: used by the thread of its executor only, except `published_view`. Lifetime: owned by a
/// `std::shared_ptr`; its coroutines keep it alive until `stop`. The clock must outlive it.
template <database_connector Connector, base::time_source Clock, suspicion_check Check>
class group_monitor : public std::enable_shared_from_this<group_monitor<Connector, Clock, Check>> {
public:
    group_monitor(boost::asio::any_io_executor executor, group_monitor_settings settings, Connector connector,
                  const Clock& clock, Check check)
        : executor_{std::move(executor)}, settings_{std::move(settings)}, connector_{std::move(connector)},
          clock_{clock}, check_{std::move(check)}, view_{group_view::of(names_of(settings_.databases_))},
          published_{view_}, rounds_{view_.majority()}, random_{settings_.random_seed_}, timer_{executor_} {
        for (const auto& database : settings_.databases_) {
            watched_.push_back(std::make_unique<watched_database>(database, clock_.now(), executor_));
        }
        draw_jitter();
    }

    /// Starts the polling coroutines. Preconditions: owned by a `std::shared_ptr`; called once.
    void start() {
        base::log_event(events::group_watch_started, {{"group", settings_.group_}});
        for (std::size_t index = 0; index < watched_.size(); ++index) {
            boost::asio::co_spawn(executor_, monitor_database(this->shared_from_this(), index),
                                  boost::asio::detached);
        }
        boost::asio::co_spawn(executor_, run_timer(this->shared_from_this()), boost::asio::detached);
    }

    /// Closes the control connections and ends all coroutines; pending waits fail.
    void stop() {
        if (stopping_) {
            return;
        }
        stopping_ = true;
        base::log_event(events::group_watch_stopped, {{"group", settings_.group_}});
        for (auto& database : watched_) {
            if (database->connection_) {
                database->connection_->close();
            }
            database->timer_.cancel();
        }
        timer_.cancel();
        gate_waiters_.finish_all(gate_result::timed_out);
        freshness_waiters_.finish_all(freshness_result::timed_out);
        primary_waiters_.finish_all(wake_up{});
    }

    /// Waits for a primary that may receive new statements: a majority of databases has reported its status,
    /// the primary is neither leaving nor failed, and no takeover is in progress. Errors: `no_primary` at the
    /// deadline or after `stop`.
    [[nodiscard]] boost::asio::awaitable<base::result<primary_location>>
    wait_for_primary(base::clock::time_point deadline) {
        const auto self = this->shared_from_this();
        while (!stopping_) {
            if (auto found = usable_primary()) {
                co_return *found;
            }
            const auto remaining = deadline - clock_.now();
            if (remaining <= base::clock::duration{0}) {
                break;
            }
            typename waiter_list<wake_up>::waiter waiter{primary_waiters_, primary_waiters_.next_number(),
                                                         executor_};
            co_await waiter.wait(remaining);
        }
        co_return base::error{base::error_kind::no_primary, "group " + settings_.group_ + " has no primary"};
    }

    /// Waits until the primary's response at `position` may be sent to the caller.
    [[nodiscard]] boost::asio::awaitable<gate_result> wait_until_committed(base::log_position position,
                                                                           base::clock::time_point deadline) {
        const auto self = this->shared_from_this();
        if (stopping_) {
            co_return gate_result::timed_out;
        }
        const auto number = gate_waiters_.next_number();
        typename waiter_list<gate_result>::waiter waiter{gate_waiters_, number, executor_};
        const pending_response entry{.id_ = number, .position_ = position, .deadline_ = deadline};
        gate_ = gate_.record_response(entry);
        advance();
        wake_databases();
        const auto result = co_await waiter.wait(time_until(deadline));
        gate_ = gate_.remove_response(number);
        co_return result.value_or(gate_result::timed_out);
    }

    /// Waits until a majority has confirmed `term` in response to status requests sent after this call.
    [[nodiscard]] boost::asio::awaitable<freshness_result> confirm_term(std::uint64_t term,
                                                                        base::clock::time_point deadline) {
        const auto self = this->shared_from_this();
        if (stopping_) {
            co_return freshness_result::timed_out;
        }
        const auto number = freshness_waiters_.next_number();
        typename waiter_list<freshness_result>::waiter waiter{freshness_waiters_, number, executor_};
        const pending_read entry{.id_ = number, .term_ = term, .deadline_ = deadline};
        apply_step(rounds_.add_read(entry, clock_.now()));
        advance();
        const auto result = co_await waiter.wait(time_until(deadline));
        co_return result.value_or(freshness_result::timed_out);
    }

    /// Records that a primary responded to a statement at `position`, which saves a status request to it.
    void report_response(std::string_view database, base::log_position position) {
        view_ = view_.record_entry(database, position);
        advance();
    }

    /// Records that a statement got no response or that its connection failed: tries a fresh connection at
    /// once.
    void report_suspicion(std::string_view database) {
        for (auto& candidate : watched_) {
            // Many statements fail together; one fresh connection is enough to check the database for all of
            // them.
            if (candidate->declared_.name_ == database &&
                clock_.now() >= candidate->detector_.last_response_at() + min_report_interval) {
                candidate->detector_ = candidate->detector_.record_suspicion();
                candidate->timer_.cancel();
            }
        }
    }

    /// Records that a statement was refused because of a stale term or because the database is not the
    /// primary: polls all databases at once.
    void report_refusal() {
        for (auto& candidate : watched_) {
            const auto earliest = candidate->requested_at_ + min_report_interval;
            candidate->poll_at_ = std::min(candidate->poll_at_, std::max(clock_.now(), earliest));
            candidate->timer_.cancel();
        }
    }

    /// Returns when the control connection to a database last failed while a fresh one worked: other
    /// connections that were open at that time may be unresponsive too. Empty when that never happened.
    [[nodiscard]] std::optional<base::clock::time_point> flow_lost_at(std::string_view database) const {
        for (const auto& candidate : watched_) {
            if (candidate->declared_.name_ == database) {
                return candidate->flow_lost_at_;
            }
        }
        return std::nullopt;
    }

    /// Returns the current view of the group. The reference is valid until the coroutine next suspends.
    [[nodiscard]] const group_view& view() const noexcept { return view_; }

    /// Returns the published copy of the view. Thread safety: any thread.
    [[nodiscard]] const base::snapshot<group_view>& published_view() const noexcept { return published_; }

    /// Returns the primary that may receive new statements; empty while there is none.
    [[nodiscard]] std::optional<primary_location> usable_primary() const {
        const auto name = view_.primary();
        if (!name || !has_confirmed_primary(view_) || takeover_ || view_.find(*name)->is_leaving()) {
            return std::nullopt;
        }
        for (const auto& database : watched_) {
            if (database->declared_.name_ == *name && database->detector_.phase() != detector_phase::failed) {
                return primary_location{
                    .database_ = *name, .address_ = database->declared_.address_, .term_ = view_.term()};
            }
        }
        return std::nullopt;
    }

private:
    using connection = typename Connector::connection;
    using time_point = base::clock::time_point;
    using duration = base::clock::duration;

    struct wake_up {};

    struct watched_database {
        watched_database(operators::database_declaration declared, time_point now,
                         const boost::asio::any_io_executor& executor)
            : declared_{std::move(declared)}, detector_{now}, timer_{executor} {}

        operators::database_declaration declared_;
        failure_detector detector_;
        std::optional<connection> connection_;
        /// Whether a status received on this connection has confirmed that the database is the declared one.
        bool is_verified_ = false;
        bool is_takeover_withheld_ = false;
        time_point requested_at_{};
        time_point poll_at_{};
        /// No request is sent before this time; set after a failure, so that a refused connection causes no
        /// busy loop.
        time_point not_before_{};
        /// The last freshness round for which a status request was sent to this database.
        std::uint64_t requested_round_ = 0;
        /// When the control connection failed; reset when a fresh connection has either worked or failed too.
        std::optional<time_point> connection_failed_at_;
        std::optional<time_point> flow_lost_at_;
        boost::asio::steady_timer timer_;
    };

    /// The parameters of one status request: how long the database may delay its response, and the freshness
    /// round that the response counts for.
    struct status_poll {
        std::optional<status_wait> wait_;
        std::optional<std::uint64_t> round_;
    };

    static std::vector<std::string> names_of(const std::vector<operators::database_declaration>& databases) {
        std::vector<std::string> names;
        names.reserve(databases.size());
        for (const auto& database : databases) {
            names.push_back(database.name_);
        }
        return names;
    }

    // The control loop of one database. It sends one request at a time on a single connection.
    static boost::asio::awaitable<void> monitor_database(std::shared_ptr<group_monitor> self,
                                                         std::size_t index) {
        auto& database = *self->watched_[index];
        while (!self->stopping_) {
            const auto due_at = self->next_due(database);
            const auto now = self->clock_.now();
            if (due_at > now) {
                database.timer_.expires_after(due_at - now);
                boost::system::error_code ignored;
                co_await database.timer_.async_wait(
                    boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
                continue;
            }
            co_await self->send_due_request(database);
            self->advance();
        }
    }

    // Periodically advances the decisions that depend on time alone.
    static boost::asio::awaitable<void> run_timer(std::shared_ptr<group_monitor> self) {
        while (!self->stopping_) {
            const bool busy = self->takeover_ || self->rounds_.round_in_flight() || !self->gate_.is_empty();
            self->timer_.expires_after(busy ? busy_interval : poll_interval);
            boost::system::error_code ignored;
            co_await self->timer_.async_wait(
                boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
            if (!self->stopping_) {
                self->advance();
            }
        }
    }

    [[nodiscard]] duration time_until(time_point deadline) const {
        return std::max(deadline - clock_.now(), duration{0});
    }

    [[nodiscard]] time_point next_due(const watched_database& database) const {
        const auto now = clock_.now();
        const bool urgent = database.detector_.phase() == detector_phase::trying_fresh_connection ||
                            due_takeover_request(database) || due_round(database) ||
                            wanted_position(database);
        return std::max(urgent ? now : database.poll_at_, database.not_before_);
    }

    [[nodiscard]] std::optional<takeover_request>
    due_takeover_request(const watched_database& database) const {
        return takeover_ ? takeover_->next_request(database.declared_.name_, clock_.now()) : std::nullopt;
    }

    [[nodiscard]] std::optional<std::uint64_t> due_round(const watched_database& database) const {
        const auto round = rounds_.round_in_flight();
        return round && *round != database.requested_round_ ? round : std::nullopt;
    }

    // Returns the smallest position that a response at the gate waits for and that this database is not known
    // to hold.
    [[nodiscard]] std::optional<base::log_position> wanted_position(const watched_database& database) const {
        const auto* state = view_.find(database.declared_.name_);
        if (!state->status_ || (*state->status_)->term_ != view_.term()) {
            return std::nullopt;
        }
        return gate_.min_pending_position(view_.term(), (*state->status_)->last_);
    }

    // Connects if necessary, sends the most urgent request and records the outcome.
    boost::asio::awaitable<void> send_due_request(watched_database& database) {
        const bool is_fresh = database.detector_.phase() != detector_phase::responding ||
                              !database.connection_ || !database.connection_->is_usable();
        const auto deadline = is_fresh ? clock_.now() + fresh_connection_timeout
                                       : std::max(database.detector_.last_response_at() + silence_timeout,
                                                  clock_.now() + min_response_timeout);
        bool succeeded = true;
        if (is_fresh) {
            succeeded = co_await connect(database);
        }
        if (succeeded && !stopping_) {
            succeeded = co_await send_request(database, deadline);
        }
        if (stopping_) {
            co_return;
        }
        if (succeeded) {
            receive_response(database);
        } else {
            co_await handle_failure(database, is_fresh);
        }
    }

    boost::asio::awaitable<bool> connect(watched_database& database) {
        database.connection_.reset();
        database.is_verified_ = false;
        auto connected = co_await connector_.connect(database.declared_.address_, fresh_connection_timeout);
        if (connected) {
            database.connection_.emplace(std::move(*connected));
        }
        co_return connected.has_value();
    }

    boost::asio::awaitable<bool> send_request(watched_database& database, time_point deadline) {
        const auto request = due_takeover_request(database);
        if (request && database.is_verified_) {
            co_return co_await send_takeover_request(database, *request, deadline);
        }
        co_return co_await send_status(database, deadline);
    }

    boost::asio::awaitable<bool> send_takeover_request(watched_database& database, takeover_request request,
                                                       time_point deadline) {
        const auto timeout = std::max(deadline - clock_.now(), min_response_timeout);
        const auto& name = database.declared_.name_;
        if (request.step_ == takeover_step::raise) {
            const auto response = co_await database.connection_->raise(request, timeout);
            if (response && takeover_) {
                receive_raise_response(name, request, *response);
            }
            co_return response.has_value();
        }
        const auto response = co_await database.connection_->promote(request, timeout);
        if (response && takeover_) {
            receive_promote_response(name, request, *response);
        }
        co_return response.has_value();
    }

    void receive_raise_response(const std::string& name, const takeover_request& request,
                                const term_response& response) {
        takeover_ = response.accepted_
                        ? takeover_->record_grant(name, request.term_, response.last_)
                        : takeover_->record_refusal(name, request.term_, response.term_, clock_.now());
    }

    void receive_promote_response(const std::string& name, const takeover_request& request,
                                  const term_response& response) {
        if (!response.accepted_) {
            takeover_ = takeover_->record_refusal(name, request.term_, response.term_, clock_.now());
            return;
        }
        takeover_ = takeover_->record_promotion(name, request.term_);
        const auto now = clock_.now();
        const database_status promoted{database_status_fields{.database_ = name,
                                                              .term_ = request.term_,
                                                              .role_ = base::database_role::primary,
                                                              .last_ = response.last_,
                                                              .start_ = 0,
                                                              .leaving_ = view_.find(name)->is_leaving()}};
        apply_status(promoted, now);
    }

    boost::asio::awaitable<bool> send_status(watched_database& database, time_point deadline) {
        const auto requested_at = clock_.now();
        const auto poll = next_status_poll(database);
        database.requested_at_ = requested_at;
        database.poll_at_ = requested_at + poll_interval;
        const auto timeout = std::max(deadline - requested_at, min_response_timeout);
        const auto response = co_await database.connection_->status(poll.wait_, timeout);
        if (!response || stopping_) {
            co_return false;
        }
        const auto& status = *response;
        if (status->database_ != database.declared_.name_) {
            base::log_event(events::database_mismatch, {{"group", settings_.group_},
                                                        {"declared", database.declared_.name_},
                                                        {"found", status->database_}});
            co_return false;
        }
        database.is_verified_ = true;
        apply_status(status, requested_at);
        if (poll.round_) {
            apply_step(rounds_.record_response(*poll.round_, status->database_, status->term_, clock_.now()));
        }
        co_return true;
    }

    // A status request for a freshness round asks for an immediate response. While a response waits at the
    // gate, the database may delay its status until it holds the position (a long poll), so that the response
    // is released without a polling delay.
    [[nodiscard]] status_poll next_status_poll(watched_database& database) const {
        const auto round = rounds_.round_in_flight();
        if (round) {
            database.requested_round_ = *round;
            return {.wait_ = {}, .round_ = round};
        }
        const auto wanted = wanted_position(database);
        if (wanted && database.is_verified_ && wanted->index() > 0) {
            const base::log_position previous{wanted->term(), wanted->index() - 1};
            return {.wait_ = status_wait{.beyond_ = previous, .time_ = long_poll_timeout}, .round_ = {}};
        }
        return {};
    }

    void apply_status(const database_status& status, time_point requested_at) {
        const auto previous_view = view_;
        view_ = view_.record_status(status, requested_at, clock_.now());
        const auto* state = previous_view.find(status->database_);
        if (state != nullptr && status->leaving_ && !state->is_leaving()) {
            base::log_event(events::database_leaving,
                            {{"group", settings_.group_}, {"database", status->database_}});
        }
        if (state != nullptr && state->reachability_ == reachability::unreachable) {
            base::log_event(events::database_reachable,
                            {{"group", settings_.group_}, {"database", status->database_}});
        }
        if (view_.term() != previous_view.term()) {
            base::log_event(events::primary_adopted, {{"group", settings_.group_},
                                                      {"database", status->database_},
                                                      {"term", std::to_string(view_.term())}});
        }
    }

    void receive_response(watched_database& database) {
        if (database.connection_failed_at_) {
            database.flow_lost_at_ = std::exchange(database.connection_failed_at_, std::nullopt);
            base::log_event(events::flow_lost,
                            {{"group", settings_.group_}, {"database", database.declared_.name_}});
        }
        database.detector_ = database.detector_.record_response(clock_.now());
        database.is_takeover_withheld_ = false;
        if (wanted_position(database)) {
            // A database that responds to a long poll too early must not be polled in a tight loop.
            database.not_before_ =
                std::max(database.not_before_, database.requested_at_ + min_request_interval);
        }
    }

    boost::asio::awaitable<void> handle_failure(watched_database& database, bool was_fresh) {
        database.connection_.reset();
        // The request for the current round may have been lost with the connection, so it is sent again.
        database.requested_round_ = 0;
        database.detector_ = database.detector_.record_suspicion();
        if (!was_fresh) {
            database.connection_failed_at_ = clock_.now();
            co_return;
        }
        database.connection_failed_at_.reset();
        database.detector_ = database.detector_.record_fresh_connection_failure();
        const auto* state = view_.find(database.declared_.name_);
        if (state->reachability_ != reachability::unreachable) {
            base::log_event(events::database_unreachable,
                            {{"group", settings_.group_}, {"database", database.declared_.name_}});
        }
        view_ = view_.record_reachability(database.declared_.name_, reachability::unreachable);
        advance();
        if (database.detector_.phase() == detector_phase::checking_with_other_daemon) {
            co_await check_suspicion(database);
        }
        database.not_before_ = std::max(database.not_before_, clock_.now() + failure_delay);
    }

    // Without a known primary, any unresponsive database may be the primary.
    [[nodiscard]] bool may_be_primary(const watched_database& database) const {
        const auto primary = view_.primary();
        return !primary || *primary == database.declared_.name_;
    }

    boost::asio::awaitable<void> check_suspicion(watched_database& database) {
        if (!may_be_primary(database)) {
            // A failed replica needs no takeover, so no other daemon is asked about it.
            database.detector_ =
                database.detector_.record_check(suspicion_result::reached, 0, watched_.size());
            co_return;
        }
        if (responding_databases() < view_.majority()) {
            // Without a majority this daemon starts no takeover, whatever the other daemon finds.
            database.detector_ =
                database.detector_.record_check(suspicion_result::not_reached, 0, watched_.size());
            withhold_takeover(database, responding_databases());
            co_return;
        }
        const auto found = co_await check_(database.declared_);
        if (found == suspicion_result::reached) {
            // Limits how often the other daemon is asked; connections may fail more often than that.
            database.not_before_ = clock_.now() + check_delay;
        }
        const auto responding_count = responding_databases();
        database.detector_ = database.detector_.record_check(found, responding_count, watched_.size());
        base::log_event(events::suspicion_checked,
                        {{"group", settings_.group_},
                         {"database", database.declared_.name_},
                         {"result", found == suspicion_result::reached       ? "reached"
                                    : found == suspicion_result::not_reached ? "not_reached"
                                                                             : "no_daemon"}});
        if (found != suspicion_result::reached && database.detector_.phase() != detector_phase::failed) {
            withhold_takeover(database, responding_count);
        }
    }

    // Logs the event once until the database responds again, because a partition may last for an hour.
    void withhold_takeover(watched_database& database, std::size_t responding_count) {
        database.not_before_ = clock_.now() + poll_interval;
        if (!database.is_takeover_withheld_) {
            database.is_takeover_withheld_ = true;
            base::log_event(events::takeover_withheld,
                            {{"group", settings_.group_}, {"answering", std::to_string(responding_count)}});
        }
    }

    // Updates every decision from the current view and time, and resumes the waiters whose result is known.
    void advance() {
        if (stopping_) {
            return;
        }
        const auto now = clock_.now();
        auto released = gate_.advance(view_, now);
        gate_ = std::move(released.gate_);
        for (const auto& decision : released.decisions_) {
            gate_waiters_.finish(decision.id_, decision.result_);
        }
        apply_step(rounds_.advance(view_.term(), now));
        advance_takeover(now);
        publish();
        if (!primary_waiters_.is_empty() && usable_primary()) {
            primary_waiters_.finish_all(wake_up{});
        }
    }

    void apply_step(freshness_rounds::step next) {
        rounds_ = std::move(next.rounds_);
        for (const auto& decision : next.decisions_) {
            freshness_waiters_.finish(decision.id_, decision.result_);
        }
        if (next.round_to_send_) {
            wake_databases();
        }
    }

    void advance_takeover(time_point now) {
        takeover_trigger_ = takeover_trigger_.advance(view_, now);
        if (takeover_) {
            const auto phase = takeover_->phase();
            takeover_ = takeover_->advance(view_, now);
            if (takeover_->is_finished()) {
                finish_takeover();
            } else if (takeover_->phase() != phase) {
                wake_databases();
            }
        } else if (damping_.is_allowed(now)) {
            if (const auto reason = due_takeover(now)) {
                start_takeover(*reason, now);
            }
        }
    }

    [[nodiscard]] std::optional<takeover_reason> due_takeover(time_point now) const {
        if (responding_databases() < view_.majority()) {
            return std::nullopt;
        }
        const auto primary = view_.primary();
        const bool failed = std::any_of(watched_.begin(), watched_.end(), [&](const auto& database) {
            return primary == database->declared_.name_ &&
                   database->detector_.phase() == detector_phase::failed;
        });
        if (failed) {
            return takeover_reason::primary_failed;
        }
        const auto reason = takeover_trigger_.due_reason(now, jitter_);
        if (reason == takeover_reason::no_primary && !are_suspicions_resolved()) {
            return std::nullopt;
        }
        return reason;
    }

    // Counts the databases that respond. A suspected database does not count, however recent its last
    // response.
    [[nodiscard]] std::size_t responding_databases() const {
        const auto now = clock_.now();
        return static_cast<std::size_t>(
            std::count_if(watched_.begin(), watched_.end(),
                          [now](const auto& one) { return one->detector_.is_responding(now); }));
    }

    // Returns whether no suspicion is still being checked: a database that this daemon cannot reach may be a
    // primary that other daemons reach.
    [[nodiscard]] bool are_suspicions_resolved() const {
        return std::all_of(watched_.begin(), watched_.end(), [](const auto& database) {
            const auto phase = database->detector_.phase();
            return phase == detector_phase::responding || phase == detector_phase::failed;
        });
    }

    void start_takeover(takeover_reason reason, time_point now) {
        damping_ = damping_.record_start(now);
        takeover_ = takeover::begin(view_, reason, settings_.proposer_, last_used_term_, now, jitter_);
        base::log_event(events::takeover_started, {{"group", settings_.group_},
                                                   {"term", std::to_string(takeover_->term())},
                                                   {"reason", std::string{name_of(reason)}}});
        draw_jitter();
        wake_databases();
    }

    void draw_jitter() {
        jitter_ = duration{std::uniform_int_distribution<std::int64_t>{0, max_jitter.count()}(random_)};
    }

    void finish_takeover() {
        const bool won = takeover_->phase() == takeover_phase::won;
        // If another owner has promoted a primary meanwhile, the damping interval is not extended.
        const bool has_primary = won || view_.term() >= takeover_->term();
        damping_ = has_primary ? damping_.record_success() : damping_.record_failure();
        base::log_event(won ? events::takeover_won : events::takeover_failed,
                        {{"group", settings_.group_},
                         {"term", std::to_string(takeover_->term())},
                         {"database", takeover_->chosen_database()}});
        last_used_term_ = takeover_->term();
        takeover_.reset();
        wake_databases();
    }

    void publish() {
        if (view_ != last_published_) {
            last_published_ = view_;
            published_.publish(view_);
        }
    }

    void wake_databases() {
        for (auto& database : watched_) {
            database->timer_.cancel();
        }
    }

    /// Reports about a database within this time of its last response or request trigger no further request.
    static constexpr duration min_report_interval{50};
    /// Interval at which decisions that depend on time alone are updated while something waits for them.
    static constexpr duration busy_interval{25};
    /// How long a database may delay a status response, which also bounds the delay that a long poll adds to
    /// a takeover or a freshness round.
    static constexpr duration long_poll_timeout{50};
    /// The minimum timeout of any request, however long the database has been unresponsive before.
    static constexpr duration min_response_timeout{100};
    static constexpr duration min_request_interval{5};
    static constexpr duration failure_delay{100};
    static constexpr duration check_delay{1'000};
    static constexpr duration max_jitter{100};

    boost::asio::any_io_executor executor_;
    group_monitor_settings settings_;
    Connector connector_;
    const Clock& clock_;
    Check check_;
    group_view view_;
    group_view last_published_;
    base::snapshot<group_view> published_;
    acknowledgement_gate gate_;
    freshness_rounds rounds_;
    takeover_trigger takeover_trigger_;
    std::optional<takeover> takeover_;
    takeover_damping damping_;
    std::uint64_t last_used_term_ = 0;
    std::mt19937_64 random_;
    duration jitter_{0};
    std::vector<std::unique_ptr<watched_database>> watched_;
    waiter_list<gate_result> gate_waiters_;
    waiter_list<freshness_result> freshness_waiters_;
    waiter_list<wake_up> primary_waiters_;
    boost::asio::steady_timer timer_;
    bool stopping_ = false;
};

} // namespace backends
