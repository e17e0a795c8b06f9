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

/// Asks a daemon in another failure domain whether it reaches a database. Has to end within
/// `suspicion_check_timeout`.
template <typename Check>
concept suspicion_check = requires(Check& check, operators::database_declaration database) {
    { check(database) } -> std::same_as<boost::asio::awaitable<suspicion_result>>;
};

/// What a monitor needs to know of its group and its daemon.
struct group_monitor_settings {
    std::string group_;
    std::vector<operators::database_declaration> databases_;
    /// Names this run of this process in raises and promotions; no other run of any process may use it.
    std::string proposer_;
    /// Seeds the jitter that keeps homes from racing.
    std::uint64_t random_seed_ = 0;

    friend auto operator<=>(const group_monitor_settings&, const group_monitor_settings&) = default;
};

/// Where statements of a group go.
struct primary_location {
    std::string database_;
    base::endpoint address_;
    std::uint64_t term_ = 0;

    friend auto operator<=>(const primary_location&, const primary_location&) = default;
};

/// Watches one database group: polls its databases, detects a failed primary, takes over, and wakes those who
/// wait for a primary, a committed position or a confirmed term.
///
/// It keeps at most one control connection to a database, which counts against the declared connections.
/// Thread safety: used by the thread of its executor only, except `published_view`. Lifetime: held by a
/// `std::shared_ptr`; its coroutines keep it alive until `stop`. `Clock` outlives it.
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

    /// Starts to watch. Precondition: held by a `std::shared_ptr`; called once.
    void start() {
        base::log_event(events::group_watch_started, {{"group", settings_.group_}});
        for (std::size_t index = 0; index < watched_.size(); ++index) {
            boost::asio::co_spawn(executor_, watch(this->shared_from_this(), index), boost::asio::detached);
        }
        boost::asio::co_spawn(executor_, keep_time(this->shared_from_this()), boost::asio::detached);
    }

    /// Closes the control connections and ends all coroutines; those who wait get a failure.
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

    /// Waits for a primary that may be given new work: a majority was heard, it is not leaving, it is not
    /// failed, and no takeover is under way. Errors: `no_primary` at the deadline or after `stop`.
    [[nodiscard]] boost::asio::awaitable<base::result<primary_location>>
    wait_for_primary(base::clock::time_point deadline) {
        const auto self = this->shared_from_this();
        while (!stopping_) {
            if (auto found = usable_primary()) {
                co_return *found;
            }
            const auto left = deadline - clock_.now();
            if (left <= base::clock::duration{0}) {
                break;
            }
            typename waiter_list<wake_up>::waiter waiting{primary_waiters_, primary_waiters_.next_number(),
                                                          executor_};
            co_await waiting.wait(left);
        }
        co_return base::error{base::error_kind::no_primary, "group " + settings_.group_ + " has no primary"};
    }

    /// Waits until the answer of a primary at `position` may go to a caller.
    [[nodiscard]] boost::asio::awaitable<gate_result> wait_until_committed(base::log_position position,
                                                                           base::clock::time_point deadline) {
        const auto self = this->shared_from_this();
        if (stopping_) {
            co_return gate_result::timed_out;
        }
        const auto number = gate_waiters_.next_number();
        typename waiter_list<gate_result>::waiter waiting{gate_waiters_, number, executor_};
        const waiting_response entry{.id_ = number, .position_ = position, .deadline_ = deadline};
        gate_ = gate_.record_response(entry);
        advance();
        wake_databases();
        const auto result = co_await waiting.wait(time_until(deadline));
        gate_ = gate_.without_response(number);
        co_return result.value_or(gate_result::timed_out);
    }

    /// Waits until a majority has confirmed `term` in answer to a question sent after this call.
    [[nodiscard]] boost::asio::awaitable<freshness_result> confirm_term(std::uint64_t term,
                                                                        base::clock::time_point deadline) {
        const auto self = this->shared_from_this();
        if (stopping_) {
            co_return freshness_result::timed_out;
        }
        const auto number = freshness_waiters_.next_number();
        typename waiter_list<freshness_result>::waiter waiting{freshness_waiters_, number, executor_};
        const waiting_read entry{.id_ = number, .term_ = term, .deadline_ = deadline};
        take(rounds_.add_read(entry, clock_.now()));
        advance();
        const auto result = co_await waiting.wait(time_until(deadline));
        co_return result.value_or(freshness_result::timed_out);
    }

    /// Takes that a primary answered a statement at `position`. Spares a question to it.
    void report_response(std::string_view database, base::log_position position) {
        view_ = view_.with_entry(database, position);
        advance();
    }

    /// Takes that a statement got no answer or its connection broke: tries a fresh connection at once.
    void report_suspicion(std::string_view database) {
        for (auto& candidate : watched_) {
            // Many statements fail together; one fresh connection answers for all of them.
            if (candidate->declared_.name_ == database &&
                clock_.now() >= candidate->detector_.heard_at() + least_time_between_reports) {
                candidate->detector_ = candidate->detector_.record_suspicion();
                candidate->timer_.cancel();
            }
        }
    }

    /// Takes that a statement was refused as of an old term or by a database that is not primary: asks all
    /// databases at once.
    void report_refusal() {
        for (auto& candidate : watched_) {
            const auto earliest = candidate->requested_at_ + least_time_between_reports;
            candidate->poll_at_ = std::min(candidate->poll_at_, std::max(clock_.now(), earliest));
            candidate->timer_.cancel();
        }
    }

    /// Returns when a connection to a database was last found silent while a fresh one worked: whatever else
    /// was open to it by then may be silent too. Empty when that never happened.
    [[nodiscard]] std::optional<base::clock::time_point> flow_lost_at(std::string_view database) const {
        for (const auto& candidate : watched_) {
            if (candidate->declared_.name_ == database) {
                return candidate->flow_lost_at_;
            }
        }
        return std::nullopt;
    }

    /// Returns what is known of the group. The reference is valid until the next suspension.
    [[nodiscard]] const group_view& view() const noexcept { return view_; }

    /// Returns the view for other threads. Thread safety: any thread.
    [[nodiscard]] const base::snapshot<group_view>& published_view() const noexcept { return published_; }

    /// Returns the primary that may be given new work; empty when there is none at present.
    [[nodiscard]] std::optional<primary_location> usable_primary() const {
        const auto name = view_.primary();
        if (!name || !is_discovered(view_) || takeover_ || view_.find(*name)->is_leaving()) {
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
        /// Whether a status on this connection has shown that the database is the declared one.
        bool is_verified_ = false;
        bool is_takeover_withheld_ = false;
        time_point requested_at_{};
        time_point poll_at_{};
        /// No request is sent before; set after a failure, so that a refused connection causes no busy loop.
        time_point not_before_{};
        /// The last freshness round whose question was sent to this database.
        std::uint64_t asked_round_ = 0;
        /// When the control connection failed, until a fresh one has answered or failed too.
        std::optional<time_point> failed_flow_at_;
        std::optional<time_point> flow_lost_at_;
        boost::asio::steady_timer timer_;
    };

    /// One status question: how long it may be held back, and for which round it counts.
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

    // The control loop of one database: one request at a time on its one connection.
    static boost::asio::awaitable<void> watch(std::shared_ptr<group_monitor> self, std::size_t index) {
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
            co_await self->ask(database);
            self->advance();
        }
    }

    // Moves on what depends on time alone.
    static boost::asio::awaitable<void> keep_time(std::shared_ptr<group_monitor> self) {
        while (!self->stopping_) {
            const bool busy = self->takeover_ || self->rounds_.round_in_flight() || !self->gate_.is_empty();
            self->timer_.expires_after(busy ? busy_period : poll_period);
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
                            due_step(database) || due_round(database) || wanted_position(database);
        return std::max(urgent ? now : database.poll_at_, database.not_before_);
    }

    [[nodiscard]] std::optional<takeover_request> due_step(const watched_database& database) const {
        return takeover_ ? takeover_->next_request(database.declared_.name_, clock_.now()) : std::nullopt;
    }

    [[nodiscard]] std::optional<std::uint64_t> due_round(const watched_database& database) const {
        const auto round = rounds_.round_in_flight();
        return round && *round != database.asked_round_ ? round : std::nullopt;
    }

    // Returns the least position that an answer at the gate waits for and this database is not known to hold.
    [[nodiscard]] std::optional<base::log_position> wanted_position(const watched_database& database) const {
        const auto* known = view_.find(database.declared_.name_);
        if (!known->status_ || (*known->status_)->term_ != view_.term()) {
            return std::nullopt;
        }
        return gate_.min_pending_position(view_.term(), (*known->status_)->last_);
    }

    // Connects if necessary and sends the most urgent request.
    boost::asio::awaitable<void> ask(watched_database& database) {
        const bool is_fresh = database.detector_.phase() != detector_phase::responding ||
                              !database.connection_ || !database.connection_->is_usable();
        const auto limit = is_fresh ? clock_.now() + fresh_connection_time
                                    : std::max(database.detector_.heard_at() + silence_timeout,
                                               clock_.now() + min_response_timeout);
        bool answered = true;
        if (is_fresh) {
            answered = co_await connect(database);
        }
        if (answered && !stopping_) {
            answered = co_await send_request(database, limit);
        }
        if (stopping_) {
            co_return;
        }
        if (answered) {
            receive_response(database);
        } else {
            co_await take_failure(database, is_fresh);
        }
    }

    boost::asio::awaitable<bool> connect(watched_database& database) {
        database.connection_.reset();
        database.is_verified_ = false;
        auto connected = co_await connector_.connect(database.declared_.address_, fresh_connection_time);
        if (connected) {
            database.connection_.emplace(std::move(*connected));
        }
        co_return connected.has_value();
    }

    boost::asio::awaitable<bool> send_request(watched_database& database, time_point limit) {
        const auto step = due_step(database);
        if (step && database.is_verified_) {
            co_return co_await send_step(database, *step, limit);
        }
        co_return co_await send_status(database, limit);
    }

    boost::asio::awaitable<bool> send_step(watched_database& database, takeover_request step,
                                           time_point limit) {
        const auto time = std::max(limit - clock_.now(), min_response_timeout);
        const auto& name = database.declared_.name_;
        if (step.step_ == takeover_step::raise) {
            const auto response = co_await database.connection_->raise(step, time);
            if (response && takeover_) {
                receive_raise_response(name, step, *response);
            }
            co_return response.has_value();
        }
        const auto response = co_await database.connection_->promote(step, time);
        if (response && takeover_) {
            receive_promote_response(name, step, *response);
        }
        co_return response.has_value();
    }

    void receive_raise_response(const std::string& name, const takeover_request& step,
                                const term_response& response) {
        takeover_ = response.accepted_
                        ? takeover_->record_grant(name, step.term_, response.last_)
                        : takeover_->record_refusal(name, step.term_, response.term_, clock_.now());
    }

    void receive_promote_response(const std::string& name, const takeover_request& step,
                                  const term_response& response) {
        if (!response.accepted_) {
            takeover_ = takeover_->record_refusal(name, step.term_, response.term_, clock_.now());
            return;
        }
        takeover_ = takeover_->with_promotion(name, step.term_);
        const auto now = clock_.now();
        const database_status promoted{database_status_fields{.database_ = name,
                                                              .term_ = step.term_,
                                                              .role_ = base::database_role::primary,
                                                              .last_ = response.last_,
                                                              .start_ = 0,
                                                              .leaving_ = view_.find(name)->is_leaving()}};
        learn(promoted, now);
    }

    boost::asio::awaitable<bool> send_status(watched_database& database, time_point limit) {
        const auto requested_at = clock_.now();
        const auto poll = next_status_poll(database);
        database.requested_at_ = requested_at;
        database.poll_at_ = requested_at + poll_period;
        const auto time = std::max(limit - requested_at, min_response_timeout);
        const auto response = co_await database.connection_->status(poll.wait_, time);
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
        learn(status, requested_at);
        if (poll.round_) {
            take(rounds_.record_response(*poll.round_, status->database_, status->term_, clock_.now()));
        }
        co_return true;
    }

    // A question for a round is never held back. While an answer waits at the gate, the question is held back
    // until the database has the position, so that the answer is released without a polling delay.
    [[nodiscard]] status_poll next_status_poll(watched_database& database) const {
        const auto round = rounds_.round_in_flight();
        if (round) {
            database.asked_round_ = *round;
            return {.wait_ = {}, .round_ = round};
        }
        const auto wanted = wanted_position(database);
        if (wanted && database.is_verified_ && wanted->index() > 0) {
            const base::log_position before{wanted->term(), wanted->index() - 1};
            return {.wait_ = status_wait{.beyond_ = before, .time_ = long_poll_time}, .round_ = {}};
        }
        return {};
    }

    void learn(const database_status& status, time_point requested_at) {
        const auto before = view_;
        view_ = view_.record_status(status, requested_at, clock_.now());
        const auto* known = before.find(status->database_);
        if (known != nullptr && status->leaving_ && !known->is_leaving()) {
            base::log_event(events::database_leaving,
                            {{"group", settings_.group_}, {"database", status->database_}});
        }
        if (known != nullptr && known->reachability_ == reachability::unreachable) {
            base::log_event(events::database_reachable,
                            {{"group", settings_.group_}, {"database", status->database_}});
        }
        if (view_.term() != before.term()) {
            base::log_event(events::primary_adopted, {{"group", settings_.group_},
                                                      {"database", status->database_},
                                                      {"term", std::to_string(view_.term())}});
        }
    }

    void receive_response(watched_database& database) {
        if (database.failed_flow_at_) {
            database.flow_lost_at_ = std::exchange(database.failed_flow_at_, std::nullopt);
            base::log_event(events::flow_lost,
                            {{"group", settings_.group_}, {"database", database.declared_.name_}});
        }
        database.detector_ = database.detector_.record_response(clock_.now());
        database.is_takeover_withheld_ = false;
        if (wanted_position(database)) {
            // A database that answers a long poll too early must not be asked in a tight loop.
            database.not_before_ =
                std::max(database.not_before_, database.requested_at_ + min_request_interval);
        }
    }

    boost::asio::awaitable<void> take_failure(watched_database& database, bool was_fresh) {
        database.connection_.reset();
        // The round's question may be lost with the connection and is due again.
        database.asked_round_ = 0;
        database.detector_ = database.detector_.record_suspicion();
        if (!was_fresh) {
            database.failed_flow_at_ = clock_.now();
            co_return;
        }
        database.failed_flow_at_.reset();
        database.detector_ = database.detector_.record_fresh_connection_failure();
        const auto* known = view_.find(database.declared_.name_);
        if (known->reachability_ != reachability::unreachable) {
            base::log_event(events::database_unreachable,
                            {{"group", settings_.group_}, {"database", database.declared_.name_}});
        }
        view_ = view_.with_reachability(database.declared_.name_, reachability::unreachable);
        advance();
        if (database.detector_.phase() == detector_phase::checking_with_other_daemon) {
            co_await check_suspicion(database);
        }
        database.not_before_ = std::max(database.not_before_, clock_.now() + pause_after_failure);
    }

    // Without a known primary any silent database may be it.
    [[nodiscard]] bool may_be_primary(const watched_database& database) const {
        const auto primary = view_.primary();
        return !primary || *primary == database.declared_.name_;
    }

    boost::asio::awaitable<void> check_suspicion(watched_database& database) {
        if (!may_be_primary(database)) {
            // Nothing depends on a replica's failure, so that no other daemon is bothered with it.
            database.detector_ =
                database.detector_.record_check(suspicion_result::reached, 0, watched_.size());
            co_return;
        }
        if (answering_databases() < view_.majority()) {
            // Whatever the other daemon finds, this one deposes nobody now.
            database.detector_ =
                database.detector_.record_check(suspicion_result::not_reached, 0, watched_.size());
            withhold_takeover(database, answering_databases());
            co_return;
        }
        const auto found = co_await check_(database.declared_);
        if (found == suspicion_result::reached) {
            // The other daemon is not asked again at the pace of failed connections.
            database.not_before_ = clock_.now() + pause_after_check;
        }
        const auto responding = answering_databases();
        database.detector_ = database.detector_.record_check(found, responding, watched_.size());
        base::log_event(events::suspicion_checked,
                        {{"group", settings_.group_},
                         {"database", database.declared_.name_},
                         {"result", found == suspicion_result::reached       ? "reached"
                                    : found == suspicion_result::not_reached ? "not_reached"
                                                                             : "no_daemon"}});
        if (found != suspicion_result::reached && database.detector_.phase() != detector_phase::failed) {
            withhold_takeover(database, responding);
        }
    }

    // Logged once until the database answers again; a partition may last for an hour.
    void withhold_takeover(watched_database& database, std::size_t responding) {
        database.not_before_ = clock_.now() + poll_period;
        if (!database.is_takeover_withheld_) {
            database.is_takeover_withheld_ = true;
            base::log_event(events::takeover_withheld,
                            {{"group", settings_.group_}, {"answering", std::to_string(responding)}});
        }
    }

    // Brings every decision up to date with the view and the time, and wakes whoever is concerned.
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
        take(rounds_.advance(view_.term(), now));
        advance_takeover(now);
        publish();
        if (!primary_waiters_.is_empty() && usable_primary()) {
            primary_waiters_.finish_all(wake_up{});
        }
    }

    void take(freshness_rounds::step next) {
        rounds_ = std::move(next.rounds_);
        for (const auto& decision : next.decisions_) {
            freshness_waiters_.finish(decision.id_, decision.result_);
        }
        if (next.round_to_send_) {
            wake_databases();
        }
    }

    void advance_takeover(time_point now) {
        discovery_ = discovery_.advance(view_, now);
        if (takeover_) {
            const auto phase = takeover_->phase();
            takeover_ = takeover_->advance(view_, now);
            if (takeover_->is_over()) {
                end_takeover();
            } else if (takeover_->phase() != phase) {
                wake_databases();
            }
        } else if (damping_.is_allowed(now)) {
            if (const auto reason = due_takeover(now)) {
                begin_takeover(*reason, now);
            }
        }
    }

    [[nodiscard]] std::optional<takeover_reason> due_takeover(time_point now) const {
        if (answering_databases() < view_.majority()) {
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
        const auto reason = discovery_.due_reason(now, jitter_);
        if (reason == takeover_reason::no_primary && !are_silent_databases_checked()) {
            return std::nullopt;
        }
        return reason;
    }

    // A suspected database does not count, however lately it was heard.
    [[nodiscard]] std::size_t answering_databases() const {
        const auto now = clock_.now();
        return static_cast<std::size_t>(
            std::count_if(watched_.begin(), watched_.end(),
                          [now](const auto& one) { return one->detector_.is_responding(now); }));
    }

    // A database that this daemon cannot reach may be a primary that others reach.
    [[nodiscard]] bool are_silent_databases_checked() const {
        return std::all_of(watched_.begin(), watched_.end(), [](const auto& database) {
            const auto phase = database->detector_.phase();
            return phase == detector_phase::responding || phase == detector_phase::failed;
        });
    }

    void begin_takeover(takeover_reason reason, time_point now) {
        damping_ = damping_.record_start(now);
        takeover_ = takeover::begin(view_, reason, settings_.proposer_, last_used_term_, now, jitter_);
        base::log_event(events::takeover_started, {{"group", settings_.group_},
                                                   {"term", std::to_string(takeover_->term())},
                                                   {"reason", std::string{name_of(reason)}}});
        draw_jitter();
        wake_databases();
    }

    void draw_jitter() {
        jitter_ = duration{std::uniform_int_distribution<std::int64_t>{0, greatest_jitter.count()}(random_)};
    }

    void end_takeover() {
        const bool won = takeover_->phase() == takeover_phase::won;
        // A group that another home gave a primary needs no longer pause.
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

    /// Reports about a database within this time of its last answer cause no further question.
    static constexpr duration least_time_between_reports{50};
    /// Pace of decisions that depend on time alone while something waits for them.
    static constexpr duration busy_period{25};
    /// How long a database may hold a status back. A takeover or freshness round waits for this at most.
    static constexpr duration long_poll_time{50};
    /// The least time that any request gets, however long the database has been silent before.
    static constexpr duration min_response_timeout{100};
    static constexpr duration min_request_interval{5};
    static constexpr duration pause_after_failure{100};
    static constexpr duration pause_after_check{1'000};
    static constexpr duration greatest_jitter{100};

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
    takeover_trigger discovery_;
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
