#pragma once

#include <backends/connection_pool.hpp>
#include <backends/database_connection.hpp>
#include <backends/group_monitor.hpp>
#include <backends/load_events.hpp>
#include <backends/outcome_decision.hpp>
#include <backends/pooled_connections.hpp>
#include <backends/replica_choice.hpp>
#include <backends/request_queue.hpp>
#include <backends/retry_budget.hpp>
#include <backends/staleness_estimate.hpp>
#include <base/clock.hpp>
#include <base/event.hpp>
#include <base/response.hpp>
#include <base/sha256.hpp>
#include <http/sleep.hpp>
#include <operators/service_declaration.hpp>
#include <proxy/admission_lane.hpp>
#include <proxy/attempt.hpp>
#include <proxy/daemon_report.hpp>
#include <proxy/events.hpp>
#include <proxy/fingerprint.hpp>
#include <proxy/hold_back_decision.hpp>
#include <proxy/routing.hpp>
#include <proxy/running_statements.hpp>
#include <proxy/scoped_count.hpp>
#include <proxy/transaction_handle.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace proxy {

/// Who runs a home, for takeovers and transaction handles.
struct owner_identity {
    /// The daemon's name.
    std::string daemon_;
    /// Names this run of the daemon; no other run of any daemon may use it.
    std::string proposer_;
    std::uint64_t random_seed_ = 0;

    friend auto operator<=>(const owner_identity&, const owner_identity&) = default;
};

/// Serves the requests of one database group: queue, connections, gate, retries and transactions.
///
/// Each request runs as a coroutine on the owner thread of the group. The decisions are those of `backends`;
/// this class carries them out. Thread safety: used by the thread of its executor only. Lifetime: held by a
/// `std::shared_ptr`; its coroutines keep it alive until `stop`. `Clock` outlives it.
template <backends::request_queue Queue, backends::database_connector Connector, base::time_source Clock,
          backends::suspicion_check Check, throttle_announcer Announcer>
class group_owner
    : public std::enable_shared_from_this<group_owner<Queue, Connector, Clock, Check, Announcer>> {
public:
    group_owner(boost::asio::any_io_executor executor, operators::service_declaration declaration,
                owner_identity identity, Connector connector, const Clock& clock, Check check,
                Announcer announcer)
        : executor_{std::move(executor)}, declaration_{std::move(declaration)}, identity_{std::move(
                                                                                    identity)},
          connector_{std::move(connector)}, clock_{clock}, announcer_{std::move(announcer)},
          random_{identity_.random_seed_}, monitor_{std::make_shared<monitor>(executor_, monitor_settings(),
                                                                              connector_, clock_,
                                                                              std::move(check))},
          primary_lane_{std::make_shared<lane>(executor_, declaration_, clock_)},
          replica_lane_{std::make_shared<lane>(executor_, declaration_, clock_)} {
        for (const auto& database : declaration_->databases_) {
            pools_.emplace(database.name_,
                           std::make_unique<pool>(executor_, opener{connector_, database.address_},
                                                  backends::connection_pool::limits_of(declaration_),
                                                  database.name_, random_()));
        }
    }

    /// Starts to watch the group. Precondition: held by a `std::shared_ptr`; called once.
    void start() {
        monitor_->start();
        boost::asio::co_spawn(executor_, keep_lanes(this->shared_from_this()), boost::asio::detached);
    }

    /// Ends all coroutines and connections. Requests in flight end as not run or unknown.
    void stop() {
        stopping_ = true;
        monitor_->stop();
        primary_lane_->stop();
        replica_lane_->stop();
        for (const auto& retired : retired_lanes_) {
            retired->stop();
        }
        transactions_.clear();
        for (auto& [name, connections] : pools_) {
            connections->close();
        }
        running_.cancel_all();
    }

    /// Returns whether no request is in flight and no transaction is open.
    [[nodiscard]] bool is_idle() const noexcept { return in_flight_ == 0 && transactions_.empty(); }

    [[nodiscard]] const operators::service_declaration& declaration() const noexcept { return declaration_; }

    /// Puts a changed declaration into force without a break: connections, view and open transactions stay,
    /// and requests that wait keep their place in the old order until it has run empty. Precondition: the
    /// databases are the same.
    void redeclare(operators::service_declaration changed) {
        declaration_ = std::move(changed);
        for (auto& [name, connections] : pools_) {
            connections->set_limits(backends::connection_pool::limits_of(declaration_));
        }
        retired_lanes_.push_back(
            std::exchange(primary_lane_, std::make_shared<lane>(executor_, declaration_, clock_)));
        retired_lanes_.push_back(
            std::exchange(replica_lane_, std::make_shared<lane>(executor_, declaration_, clock_)));
        update_lanes();
    }

    /// Serves a request to its end. Precondition: `routed` is of this group.
    [[nodiscard]] boost::asio::awaitable<base::response> execute(routed_request routed) {
        const auto self = this->shared_from_this();
        const scoped_count counted{in_flight_};
        const auto deadline = clock_.now() + routed->request_->time_left_;
        switch (routed->request_->step_) {
        case base::transaction_step::none:
            co_return co_await execute_alone(routed, deadline);
        case base::transaction_step::begin:
            co_return co_await begin_transaction(routed, deadline);
        case base::transaction_step::statement:
        case base::transaction_step::commit:
        case base::transaction_step::rollback:
            co_return co_await continue_transaction(routed, deadline);
        }
        co_return base::not_run(base::error{base::error_kind::invalid_request, "unknown transaction step"});
    }

    /// Returns what this home knows, for operators.
    [[nodiscard]] group_report report() const {
        group_report described{.group_ = declaration_->name_,
                               .term_ = monitor_->view().term(),
                               .open_transactions_ = transactions_.size()};
        if (const auto primary = monitor_->usable_primary()) {
            described.primary_ = primary->database_;
        }
        if (const auto committed = monitor_->view().committed()) {
            described.committed_index_ = committed->index();
        }
        for (const auto& database : monitor_->view().databases()) {
            described.databases_.push_back(report_of(database, declaration_));
        }
        add_ranks(described);
        return described;
    }

private:
    using time_point = base::clock::time_point;
    using duration = base::clock::duration;
    using connection = typename Connector::connection;
    using monitor = backends::group_monitor<Connector, Clock, Check>;
    using lane = admission_lane<Queue, Clock>;
    using statements_in_progress = running_statements<connection>;

    /// Opens the connections of one database's pool.
    struct opener {
        Connector connector_;
        base::endpoint address_;

        boost::asio::awaitable<base::result<connection>> connect(duration timeout) {
            return connector_.connect(address_, timeout);
        }
    };

    using pool = backends::pooled_connections<connection, opener>;
    using guard = typename pool::guard;

    /// A transaction between two of its requests.
    struct open_transaction {
        guard connection_;
        std::string database_;
        std::uint64_t term_ = 0;
        std::string tenant_;
        time_point used_at_{};
        /// Digest of all statements so far, so that a key repeated with another transaction is recognised.
        std::string fingerprint_;
        bool busy_ = false;
    };

    [[nodiscard]] backends::group_monitor_settings monitor_settings() {
        return {.group_ = declaration_->name_,
                .databases_ = declaration_->databases_,
                .proposer_ = identity_.proposer_,
                .random_seed_ = random_()};
    }

    // --- requests outside transactions

    boost::asio::awaitable<base::response> execute_alone(routed_request routed, time_point deadline) {
        const auto& request = routed->request_;
        auto earlier = backends::earlier_attempts::none_ran;
        auto kind =
            request->access_ == base::access::settle ? attempt_kind::settle : attempt_kind::statements;
        budget_.note_attempt(clock_.now());
        while (true) {
            const attempt last = co_await make_attempt(routed, kind, deadline);
            const auto decision = decide(routed, last, earlier, deadline);
            earlier = decision.earlier_;
            if (decision.next_ == backends::next_step::settle) {
                // A settle that failed is tried again after a pause, as long as there is time.
                if (kind == attempt_kind::settle) {
                    co_await http::sleep_for(retry_pause(deadline));
                }
                kind = attempt_kind::settle;
                continue;
            }
            if (decision.next_ == backends::next_step::retry) {
                kind = attempt_kind::statements;
                co_await http::sleep_for(retry_pause(deadline));
                continue;
            }
            co_return with_session(conclude(last, decision), request);
        }
    }

    /// What an attempt asks of the database group.
    enum class attempt_kind : std::uint8_t { statements, settle };

    // Two statements instead of one conditional expression: g++ 12 destroys the result of a co_await inside a
    // conditional operator twice.
    boost::asio::awaitable<attempt> make_attempt(routed_request routed, attempt_kind kind,
                                                 time_point deadline) {
        if (kind == attempt_kind::settle) {
            co_return co_await settle_outcome(routed, deadline);
        }
        co_return co_await attempt_statements(routed, deadline);
    }

    // A home that stops makes no further attempt, so that no request outlives it up to its deadline.
    backends::outcome_decision decide(const routed_request& routed, const attempt& last,
                                      backends::earlier_attempts earlier, time_point deadline) {
        if (stopping_) {
            auto decision = decide_in_time(routed, last, earlier, clock_.now());
            if (decision.error_ == base::error_kind::deadline_expired) {
                decision.error_ = base::error_kind::shutting_down;
            }
            return decision;
        }
        return decide_in_time(routed, last, earlier, deadline);
    }

    backends::outcome_decision decide_in_time(const routed_request& routed, const attempt& last,
                                              backends::earlier_attempts earlier, time_point deadline) {
        const auto& request = routed->request_;
        const backends::ended_attempt ended{
            .end_ = last->end_,
            .refusal_ = last->refusal_,
            .access_ = request->access_ == base::access::settle ? base::access::write : request->access_,
            .step_ = request->step_,
            .has_key_ = request->idempotency_key_.has_value(),
            .earlier_ = earlier,
            // A request that the queue shed is not offered again: load that was refused must stay refused.
            .retry_ =
                last->shed_ ? backends::retry_permission::exhausted : backends::retry_permission::allowed,
            .time_left_ = time_until(deadline)};
        const auto decision = backends::decide_outcome(ended);
        const bool costs_budget =
            decision.next_ == backends::next_step::retry && last->end_ != backends::attempt_end::not_sent;
        if (!costs_budget || budget_.take_retry(clock_.now())) {
            return decision;
        }
        base::log_event(events::retry_budget_exhausted, {{"group", declaration_->name_}});
        auto without_retry = ended;
        without_retry.retry_ = backends::retry_permission::exhausted;
        return backends::decide_outcome(without_retry);
    }

    boost::asio::awaitable<attempt> attempt_statements(routed_request routed, time_point deadline) {
        if (routed->request_->access_ == base::access::read) {
            const auto replica = co_await choose_target(routed, deadline);
            if (replica) {
                co_return co_await read_from_replica(routed, deadline);
            }
        }
        co_return co_await run_on_primary(routed, deadline);
    }

    boost::asio::awaitable<attempt> run_on_primary(routed_request routed, time_point deadline) {
        auto admission = co_await primary_lane_->admit(item_of(routed, deadline));
        if (!admission.ticket_) {
            co_return shed_attempt(*admission.refusal_);
        }
        const auto primary = co_await monitor_->wait_for_primary(deadline);
        if (!primary) {
            co_return failed_attempt(backends::attempt_end::not_sent, primary.last_reason().message());
        }
        const auto& request = routed->request_;
        if (request->session_ == base::session_state::with_token && request->token_.term() > primary->term_) {
            // The session has written through a newer primary than this home knows of.
            monitor_->report_refusal();
            co_return failed_attempt(backends::attempt_end::not_sent,
                                     "the home does not know the newest term yet");
        }
        auto leased = co_await pools_.at(primary->database_)->acquire(deadline);
        if (!leased) {
            monitor_->report_suspicion(primary->database_);
            co_return failed_attempt(backends::attempt_end::not_sent, leased.last_reason().message());
        }
        if (request->access_ == base::access::write && time_until(deadline) < least_time_to_run(request)) {
            leased->give_back();
            co_return late_attempt();
        }
        const auto statements = statements_of(request, primary->term_);
        auto sent = co_await send(*leased, primary->database_, backends::statement_path::execute, statements,
                                  deadline);
        if (sent) {
            leased->give_back();
        }
        leased = base::error{base::error_kind::internal, "given back"};
        admission.ticket_->release();
        co_return co_await finish_on_primary(routed, *primary, std::move(sent), deadline);
    }

    // Takes the answer of a primary through the gate.
    boost::asio::awaitable<attempt> finish_on_primary(routed_request routed,
                                                      backends::primary_location primary,
                                                      base::result<backends::execute_response> sent,
                                                      time_point deadline) {
        if (!sent) {
            monitor_->report_suspicion(primary.database_);
            co_return failed_attempt(backends::attempt_end::answer_lost, sent.last_reason().message());
        }
        const auto response = *sent;
        if (response->refusal_) {
            note_refusal(*response->refusal_);
            co_return refused_attempt(*response->refusal_);
        }
        monitor_->report_response(primary.database_, response->position_);
        if (needs_confirmation(routed)) {
            const auto confirmed = co_await monitor_->confirm_term(primary.term_, deadline);
            if (confirmed != backends::freshness_result::confirmed) {
                co_return failed_attempt(confirmed == backends::freshness_result::term_changed
                                             ? backends::attempt_end::term_changed
                                             : backends::attempt_end::gate_timed_out,
                                         "no majority confirmed the primary's term");
            }
        }
        co_return co_await pass_gate(response->position_, response->results_, base::database_role::primary,
                                     backends::attempt_end::released, deadline);
    }

    boost::asio::awaitable<attempt> pass_gate(base::log_position position, std::vector<std::string> results,
                                              base::database_role served_by, backends::attempt_end on_release,
                                              time_point deadline) {
        const auto passed = co_await monitor_->wait_until_committed(position, deadline);
        if (passed == backends::gate_result::released) {
            const attempt released{attempt_fields{.end_ = on_release,
                                                  .results_ = std::move(results),
                                                  .position_ = position,
                                                  .served_by_ = served_by}};
            co_return released;
        }
        co_return failed_attempt(passed == backends::gate_result::term_changed
                                     ? backends::attempt_end::term_changed
                                     : backends::attempt_end::gate_timed_out,
                                 "no majority of the group held the answer's position in time");
    }

    // A read without a token has to see the newest write of its session, and any read has its staleness:
    // both need a majority that confirmed the term recently enough.
    [[nodiscard]] bool needs_confirmation(const routed_request& routed) const {
        const auto& request = routed->request_;
        if (request->access_ != base::access::read) {
            return false;
        }
        if (request->session_ == base::session_state::without_token) {
            return true;
        }
        return !is_term_confirmed_since(clock_.now() - routed->staleness_);
    }

    [[nodiscard]] bool is_term_confirmed_since(time_point earliest) const {
        const auto& view = monitor_->view();
        const auto confirmed =
            std::count_if(view.databases().begin(), view.databases().end(), [&](const auto& database) {
                return database.status_ && (*database.status_)->term_ == view.term() &&
                       database.requested_at_ > earliest;
            });
        return static_cast<std::size_t>(confirmed) >= view.majority();
    }

    boost::asio::awaitable<attempt> settle_outcome(routed_request routed, time_point deadline) {
        auto admission = co_await primary_lane_->admit(item_of(routed, deadline));
        if (!admission.ticket_) {
            co_return failed_attempt(backends::attempt_end::settle_failed,
                                     admission.refusal_->reason_.message());
        }
        const auto primary = co_await monitor_->wait_for_primary(deadline);
        if (!primary) {
            co_return failed_attempt(backends::attempt_end::settle_failed, primary.last_reason().message());
        }
        auto leased = co_await pools_.at(primary->database_)->acquire(deadline);
        if (!leased) {
            co_return failed_attempt(backends::attempt_end::settle_failed, leased.last_reason().message());
        }
        const auto& request = routed->request_;
        const backends::settle_request settle_call{
            backends::settle_request_fields{.term_ = primary->term_,
                                            .key_ = recorded_key_of(request),
                                            .fingerprint_ = settled_fingerprint(request)}};
        const auto response = co_await send_settle(*leased, primary->database_, settle_call, deadline);
        if (!response) {
            co_return failed_attempt(backends::attempt_end::settle_failed, response.last_reason().message());
        }
        leased->give_back();
        admission.ticket_->release();
        const auto& settled = *response;
        if (settled->refusal_) {
            note_refusal(*settled->refusal_);
            if (*settled->refusal_ == backends::refusal::key_conflict) {
                co_return refused_attempt(*settled->refusal_);
            }
            co_return failed_attempt(backends::attempt_end::settle_failed, "the database refused to settle");
        }
        const auto end = settled->outcome_ == backends::settled_outcome::done
                             ? backends::attempt_end::settled_done
                             : backends::attempt_end::settled_cancelled;
        attempt passed = co_await pass_gate(settled->position_, settled->results_,
                                            base::database_role::primary, end, deadline);
        if (passed->end_ != end) {
            co_return failed_attempt(backends::attempt_end::settle_failed, passed->reason_);
        }
        co_return passed;
    }

    // A question for an outcome does not know the content, and a commit alone not that of its transaction:
    // both match any.
    [[nodiscard]] static std::string settled_fingerprint(const base::request& request) {
        const bool knows_content =
            request->access_ != base::access::settle && request->step_ == base::transaction_step::none;
        return knows_content ? fingerprint_of(request) : std::string{};
    }

    // --- reads from replicas

    // Returns what a read needs of a replica, or nothing when only the primary will do.
    [[nodiscard]] std::optional<backends::read_requirements>
    replica_need_of(const routed_request& routed) const {
        const auto& request = routed->request_;
        if (request->session_ == base::session_state::without_token || routed->staleness_ == duration{0}) {
            return std::nullopt;
        }
        return backends::read_requirements_fields{
            .term_ = monitor_->view().term(), .minimum_ = request->token_, .staleness_ = routed->staleness_};
    }

    // Chooses a database for a read as things stand now.
    [[nodiscard]] backends::replica_choice choose_now(const backends::read_requirements& need) {
        const auto primary = monitor_->view().primary();
        std::vector<backends::replica_candidate> candidates;
        for (const auto& database : monitor_->view().databases()) {
            if (database.status_ && primary != database.name_) {
                candidates.push_back(candidate_of(database));
            }
        }
        return backends::choose_replica(candidates, need, clock_.now(), random_());
    }

    [[nodiscard]] backends::replica_candidate candidate_of(const backends::known_database& database) const {
        const auto now = clock_.now();
        const auto last = (*database.status_)->last_;
        return backends::replica_candidate_fields{.name_ = database.name_,
                                                  .last_ = last,
                                                  .lag_ = staleness_.max_age(last, now),
                                                  .measured_at_ = now,
                                                  .in_use_ = running_.count_on(database.name_),
                                                  .slots_ = declaration_->slots_,
                                                  .is_reachable_ = database.reachability_ ==
                                                                   backends::reachability::reachable,
                                                  .is_leaving_ = database.is_leaving()};
    }

    // Returns the replica that should serve the read, or nothing when the primary should. Holds no slot while
    // it waits for a replica to catch up.
    boost::asio::awaitable<std::optional<std::string>> choose_target(routed_request routed,
                                                                     time_point deadline) {
        const auto wait_until = std::min(deadline, clock_.now() + longest_replica_wait);
        while (!stopping_) {
            const auto need = replica_need_of(routed);
            if (!need) {
                co_return std::nullopt;
            }
            const auto timed = need->with([&](auto& fields) { fields.wait_left_ = time_until(wait_until); });
            const auto choice = choose_now(timed);
            if (choice->target_ == backends::read_target::replica) {
                co_return choice->name_;
            }
            if (choice->target_ == backends::read_target::primary) {
                co_return std::nullopt;
            }
            co_await http::sleep_for(std::min(choice->wait_, replica_wait_step));
        }
        co_return std::nullopt;
    }

    // Runs a read on a replica, or on the primary when no replica will do once the read has its slot.
    boost::asio::awaitable<attempt> read_from_replica(routed_request routed, time_point deadline) {
        auto admission = co_await replica_lane_->admit(item_of(routed, deadline));
        if (!admission.ticket_) {
            co_return shed_attempt(*admission.refusal_);
        }
        const auto need = replica_need_of(routed);
        const auto choice = choose_now(*need);
        if (choice->target_ != backends::read_target::replica) {
            admission.ticket_->release();
            co_return co_await run_on_primary(routed, deadline);
        }
        const auto database = choice->name_;
        // The position known at the choice, on which the staleness was judged, must still be there.
        const auto minimum = (*monitor_->view().find(database)->status_)->last_;
        auto leased = co_await pools_.at(database)->acquire(deadline);
        if (!leased) {
            monitor_->report_suspicion(database);
            co_return failed_attempt(backends::attempt_end::not_sent, leased.last_reason().message());
        }
        const auto statements = statements_of(routed->request_, (*need)->term_).with([&](auto& fields) {
            fields.minimum_ = minimum;
        });
        const auto sent =
            co_await send(*leased, database, backends::statement_path::execute, statements, deadline);
        if (!sent) {
            monitor_->report_suspicion(database);
            co_return failed_attempt(backends::attempt_end::answer_lost, sent.last_reason().message());
        }
        leased->give_back();
        admission.ticket_->release();
        if ((*sent)->refusal_) {
            note_refusal(*(*sent)->refusal_);
            co_return refused_attempt(*(*sent)->refusal_);
        }
        co_return co_await pass_gate((*sent)->position_, (*sent)->results_, base::database_role::replica,
                                     backends::attempt_end::released, deadline);
    }

    // --- transactions

    boost::asio::awaitable<base::response> begin_transaction(routed_request routed, time_point deadline) {
        auto admission = co_await primary_lane_->admit(item_of(routed, deadline));
        if (!admission.ticket_) {
            co_return base::not_run(admission.refusal_->reason_, admission.refusal_->retry_after_);
        }
        const auto primary = co_await monitor_->wait_for_primary(deadline);
        if (!primary) {
            co_return base::not_run(primary.last_reason());
        }
        auto& connections = *pools_.at(primary->database_);
        if (!connections.has_room_for_transaction()) {
            // Waiting here would hold a slot for as long as callers leave their transactions open, and two of
            // them would stop all other work of the group.
            base::error full{base::error_kind::overloaded,
                             "as many transactions are open as the database has connections for"};
            co_return base::not_run(std::move(full), pause_before_transaction);
        }
        auto leased = co_await connections.acquire(deadline, backends::connection_use::transaction);
        if (!leased) {
            co_return base::not_run(leased.last_reason());
        }
        const auto statements = statements_of(routed->request_, primary->term_);
        const auto sent =
            co_await send(*leased, primary->database_, backends::statement_path::begin, statements, deadline);
        if (!sent || (*sent)->refusal_) {
            if (sent) {
                note_refusal(*(*sent)->refusal_);
            }
            co_return base::not_run(base::error{base::error_kind::transaction_aborted,
                                                sent ? "the database refused to begin a transaction"
                                                     : sent.last_reason().message()});
        }
        leased->pause();
        const transaction_handle handle{identity_.daemon_, random_()};
        transactions_.emplace(handle.number(),
                              open_transaction{.connection_ = std::move(*leased),
                                               .database_ = primary->database_,
                                               .term_ = primary->term_,
                                               .tenant_ = routed->request_->tenant_,
                                               .used_at_ = clock_.now(),
                                               .fingerprint_ = fingerprint_of(routed->request_)});
        co_return base::response{base::response_fields{.outcome_ = base::outcome::done,
                                                       .results_ = (*sent)->results_,
                                                       .served_by_ = base::database_role::primary,
                                                       .transaction_ = handle.to_string()}};
    }

    boost::asio::awaitable<base::response> continue_transaction(routed_request routed, time_point deadline) {
        const auto& request = routed->request_;
        const auto handle = transaction_handle::parse(request->transaction_);
        const auto found = handle ? transactions_.find(handle->number()) : transactions_.end();
        if (found == transactions_.end() || found->second.tenant_ != request->tenant_) {
            co_return base::not_run(base::error{base::error_kind::unknown_transaction,
                                                "no such transaction is open at its home"});
        }
        if (found->second.busy_) {
            co_return base::not_run(base::error{base::error_kind::invalid_request,
                                                "the transaction still works on its previous request"});
        }
        found->second.busy_ = true;
        auto admission = co_await primary_lane_->admit(item_of(routed, deadline));
        const auto open = transactions_.find(handle->number());
        if (open == transactions_.end()) {
            co_return base::not_run(
                base::error{base::error_kind::transaction_aborted, "the transaction was rolled back"});
        }
        if (!admission.ticket_) {
            // The statement did not run, and the transaction is as it was.
            open->second.busy_ = false;
            co_return base::not_run(admission.refusal_->reason_, admission.refusal_->retry_after_);
        }
        // Taken out of the table while it works: whatever goes wrong below closes its connection.
        auto taken = std::move(open->second);
        transactions_.erase(open);
        if (const auto refused = co_await taken.connection_.resume(deadline)) {
            co_return base::not_run(base::error{base::error_kind::transaction_aborted, refused->message()});
        }
        co_return co_await run_step(routed, handle->number(), std::move(taken), std::move(*admission.ticket_),
                                    deadline);
    }

    boost::asio::awaitable<base::response> run_step(routed_request routed, std::uint64_t number,
                                                    open_transaction taken, typename lane::ticket slot,
                                                    time_point deadline) {
        const auto& request = routed->request_;
        taken.fingerprint_ = base::sha256_of(taken.fingerprint_ + fingerprint_of(request));
        const auto statements = statements_of(request, taken.term_).with([&taken](auto& fields) {
            if (fields.key_) {
                fields.fingerprint_ = taken.fingerprint_;
            }
        });
        auto sent =
            co_await send(taken.connection_, taken.database_, path_of(request->step_), statements, deadline);
        // Settling a commit takes a slot of its own, which may be the one that this step has held.
        slot.release();
        const bool ran = sent && !(*sent)->refusal_;
        if (request->step_ == base::transaction_step::statement && ran) {
            taken.connection_.pause();
            taken.used_at_ = clock_.now();
            taken.busy_ = false;
            transactions_.emplace(number, std::move(taken));
            co_return base::response{base::response_fields{.outcome_ = base::outcome::done,
                                                           .results_ = (*sent)->results_,
                                                           .served_by_ = base::database_role::primary,
                                                           .transaction_ = request->transaction_}};
        }
        if (request->step_ == base::transaction_step::statement) {
            co_return base::not_run(base::error{base::error_kind::transaction_aborted,
                                                sent ? "the database refused a statement of the transaction"
                                                     : sent.last_reason().message()});
        }
        if (sent) {
            taken.connection_.give_back();
        } else {
            taken.connection_.discard();
        }
        if (request->step_ == base::transaction_step::rollback) {
            // With or without an answer: the connection is closed or rolled back.
            co_return base::response{base::response_fields{.outcome_ = base::outcome::done}};
        }
        const backends::primary_location primary{
            .database_ = taken.database_, .address_ = {}, .term_ = taken.term_};
        attempt last = co_await finish_on_primary(routed, primary, std::move(sent), deadline);
        auto decision = decide(routed, last, backends::earlier_attempts::none_ran, deadline);
        while (decision.next_ == backends::next_step::settle) {
            last = co_await settle_outcome(routed, deadline);
            decision = decide(routed, last, decision.earlier_, deadline);
            if (decision.next_ == backends::next_step::settle) {
                co_await http::sleep_for(retry_pause(deadline));
            }
        }
        co_return with_session(conclude(last, decision), request);
    }

    [[nodiscard]] static backends::statement_path path_of(base::transaction_step step) {
        switch (step) {
        case base::transaction_step::begin:
            return backends::statement_path::begin;
        case base::transaction_step::statement:
            return backends::statement_path::statement;
        case base::transaction_step::commit:
            return backends::statement_path::commit;
        case base::transaction_step::rollback:
            return backends::statement_path::rollback;
        case base::transaction_step::none:
            break;
        }
        return backends::statement_path::execute;
    }

    // --- parts

    boost::asio::awaitable<base::result<backends::execute_response>>
    send(guard& leased, std::string database, backends::statement_path path,
         backends::execute_request statements, time_point deadline) {
        const typename statements_in_progress::registration registered{
            running_, {std::move(database), statements->term_, &*leased, clock_.now()}};
        co_return co_await leased->run(path, statements, time_until(deadline));
    }

    // Registered only until the answer: a connection that was given back may be closed or serve another
    // request by the time the term changes.
    boost::asio::awaitable<base::result<backends::settle_response>>
    send_settle(guard& leased, std::string database, backends::settle_request settle_call,
                time_point deadline) {
        const typename statements_in_progress::registration registered{
            running_, {std::move(database), settle_call->term_, &*leased, clock_.now()}};
        co_return co_await leased->settle(settle_call, time_until(deadline));
    }

    [[nodiscard]] backends::execute_request statements_of(const base::request& request,
                                                          std::uint64_t term) const {
        backends::execute_request_fields fields{
            .term_ = term, .access_ = request->access_, .statements_ = request->statements_};
        if (request->idempotency_key_) {
            fields.key_ = recorded_key_of(request);
            fields.fingerprint_ = fingerprint_of(request);
        }
        return fields;
    }

    [[nodiscard]] backends::queue_item item_of(const routed_request& routed, time_point deadline) const {
        const auto& request = routed->request_;
        std::uint64_t bytes = 0;
        for (const auto& statement : request->statements_) {
            bytes += statement.size();
        }
        return backends::queue_item_fields{
            .rank_ = request->rank_, .tenant_ = request->tenant_, .bytes_ = bytes, .deadline_ = deadline};
    }

    // A write that starts too shortly before its deadline would run without its caller learning the outcome.
    [[nodiscard]] static duration least_time_to_run(const base::request& request) {
        return std::min(longest_reserve_to_run, request->time_left_ / 4);
    }

    [[nodiscard]] static attempt late_attempt() {
        return attempt_fields{.end_ = backends::attempt_end::not_sent,
                              .shed_ =
                                  base::error{base::error_kind::deadline_expired,
                                              "too little time was left to run it and to learn its outcome"}};
    }

    [[nodiscard]] static attempt shed_attempt(const typename lane::refusal& refused) {
        return attempt_fields{.end_ = backends::attempt_end::not_sent,
                              .shed_ = refused.reason_,
                              .retry_after_ = refused.retry_after_};
    }

    void note_refusal(backends::refusal reason) {
        if (reason == backends::refusal::term_stale || reason == backends::refusal::not_primary ||
            reason == backends::refusal::leaving) {
            monitor_->report_refusal();
        }
    }

    [[nodiscard]] duration time_until(time_point deadline) const {
        return std::max(deadline - clock_.now(), duration{0});
    }

    // Full jitter, so that requests that failed together do not come back together.
    [[nodiscard]] duration retry_pause(time_point deadline) {
        const auto longest = std::min(longest_retry_pause, time_until(deadline) / 4);
        return duration{
            1 + static_cast<std::int64_t>(random_() % (static_cast<std::uint64_t>(longest.count()) + 1))};
    }

    void add_ranks(group_report& described) const {
        const auto primary = primary_lane_->load();
        const auto replica = replica_lane_->load();
        for (std::size_t index = 0; index < primary->ranks_.size(); ++index) {
            const auto& one = primary->ranks_[index];
            const auto& other = replica->ranks_[index];
            described.ranks_.push_back(
                {.name_ = one.rank_,
                 .queued_ = one.queued_ + other.queued_,
                 .running_ = one.running_ + other.running_,
                 .expected_wait_ = std::max(one.expected_wait_, other.expected_wait_)});
        }
    }

    // Opens the lanes while databases can take work, gives up statements of a replaced primary, and closes
    // transactions that nobody continues.
    static boost::asio::awaitable<void> keep_lanes(std::shared_ptr<group_owner> self) {
        auto maintained_at = self->clock_.now();
        while (!self->stopping_) {
            self->update_lanes();
            self->note_primary_position();
            // A statement of a replaced primary can no longer pass the gate; without it the request goes on
            // with the new primary at once.
            self->running_.cancel_before(self->monitor_->view().term());
            self->cancel_silent();
            if (self->clock_.now() - maintained_at >= maintenance_period) {
                maintained_at = self->clock_.now();
                self->maintain();
            }
            const bool busy = self->in_flight_ > 0;
            if (self->clock_.now() - self->announced_at_ >= throttle_interval &&
                (busy || self->is_throttling_)) {
                self->announce_throttling();
            }
            co_await http::sleep_for(busy ? busy_period : idle_period);
        }
    }

    // Tells the entry daemons how much of each rank to admit, for as long as it is not everything.
    void announce_throttling() {
        announced_at_ = clock_.now();
        auto present = decide_throttling(declaration_, base::database_role::primary, primary_lane_->load());
        const auto reads =
            decide_throttling(declaration_, base::database_role::replica, replica_lane_->load());
        present.insert(present.end(), reads.begin(), reads.end());
        const auto notices = select_notices(announced_, present);
        const bool is_throttling = std::any_of(notices.begin(), notices.end(),
                                               [](const auto& notice) { return notice->percent_ < 100; });
        if (is_throttling != is_throttling_) {
            base::log_event(is_throttling ? backends::load_events::hold_back_started
                                          : backends::load_events::hold_back_ended,
                            {{"group", declaration_->name_}});
        }
        is_throttling_ = is_throttling;
        announced_ = std::move(present);
        if (!notices.empty()) {
            announcer_(std::span<const daemons::throttle_notice>{notices});
        }
    }

    void update_lanes() {
        const auto& view = monitor_->view();
        const auto primary = monitor_->usable_primary();
        primary_lane_->set_slots(primary ? declaration_->slots_ : 0);
        std::uint32_t replicas = 0;
        for (const auto& database : view.databases()) {
            const bool is_primary = primary && primary->database_ == database.name_;
            replicas += !is_primary && database.reachability_ == backends::reachability::reachable ? 1 : 0;
        }
        replica_lane_->set_slots(replicas * declaration_->slots_);
        std::erase_if(retired_lanes_, [](const auto& retired) { return retired->is_idle(); });
        for (const auto& retired : retired_lanes_) {
            // The pools keep the sum of old and new within what each database takes.
            retired->set_slots(primary ? declaration_->slots_ : 0);
        }
    }

    // Keeps the history by which the age of a replica's data is judged. The time is the latest at which both
    // the primary was asked for its position and a majority was asked to confirm the term.
    void note_primary_position() {
        const auto& view = monitor_->view();
        const auto primary = view.primary();
        if (!primary) {
            return;
        }
        std::vector<time_point> confirmed;
        for (const auto& database : view.databases()) {
            if (database.status_ && (*database.status_)->term_ == view.term()) {
                confirmed.push_back(database.requested_at_);
            }
        }
        if (confirmed.size() < view.majority()) {
            return;
        }
        std::sort(confirmed.begin(), confirmed.end(), std::greater<>{});
        const auto* known = view.find(*primary);
        staleness_.note_primary((*known->status_)->last_,
                                std::min(known->requested_at_, confirmed[view.majority() - 1]));
    }

    // A lost flow shows as silence: a statement that got no answer for as long as the control connection was
    // given is not waited for up to its deadline, and idle connections of the same age are not used again.
    void cancel_silent() {
        for (const auto& [name, connections] : pools_) {
            const auto lost_at = monitor_->flow_lost_at(name);
            if (!lost_at) {
                continue;
            }
            auto& handled = handled_losses_[name];
            if (handled != *lost_at) {
                handled = *lost_at;
                connections->mark_existing_suspect();
            }
            running_.cancel_silent(name, *lost_at, clock_.now() - backends::silence_timeout);
        }
    }

    void maintain() {
        for (auto& [name, connections] : pools_) {
            connections->maintain();
        }
        const auto oldest = clock_.now() - transaction_idle_limit;
        for (auto open = transactions_.begin(); open != transactions_.end();) {
            const bool abandoned = !open->second.busy_ && open->second.used_at_ < oldest;
            if (abandoned) {
                base::log_event(events::transaction_abandoned, {{"group", declaration_->name_}});
            }
            open = abandoned ? transactions_.erase(open) : std::next(open);
        }
    }

    static constexpr duration longest_retry_pause{100};
    static constexpr duration longest_reserve_to_run{50};
    /// A read that would wait longer for a replica goes to the primary.
    static constexpr duration longest_replica_wait{50};
    static constexpr duration replica_wait_step{5};
    static constexpr duration busy_period{25};
    static constexpr duration idle_period{250};
    static constexpr duration maintenance_period{1'000};
    static constexpr duration throttle_interval{100};
    static constexpr duration transaction_idle_limit{30'000};
    /// When a caller whose transaction found no connection may try again.
    static constexpr duration pause_before_transaction{1'000};

    boost::asio::any_io_executor executor_;
    operators::service_declaration declaration_;
    owner_identity identity_;
    Connector connector_;
    const Clock& clock_;
    Announcer announcer_;
    std::mt19937_64 random_;
    std::shared_ptr<monitor> monitor_;
    std::shared_ptr<lane> primary_lane_;
    std::shared_ptr<lane> replica_lane_;
    /// Lanes of earlier declarations in which requests still wait or run.
    std::vector<std::shared_ptr<lane>> retired_lanes_;
    std::map<std::string, std::unique_ptr<pool>> pools_;
    /// The last lost flow of each database that was acted on.
    std::map<std::string, time_point> handled_losses_;
    backends::retry_budget budget_;
    backends::staleness_estimate staleness_;
    std::map<std::uint64_t, open_transaction> transactions_;
    statements_in_progress running_;
    std::uint64_t in_flight_ = 0;
    std::vector<daemons::throttle_notice> announced_;
    time_point announced_at_{};
    bool is_throttling_ = false;
    bool stopping_ = false;
};

} // namespace proxy
