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
#include <proxy/admission_controller.hpp>
#include <proxy/attempt.hpp>
#include <proxy/daemon_report.hpp>
#include <proxy/events.hpp>
#include <proxy/fingerprint.hpp>
#include <proxy/routing.hpp>
#include <proxy/running_statements.hpp>
#include <proxy/scoped_count.hpp>
#include <proxy/throttle_decision.hpp>
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

/// Identifies the daemon that owns a group, for takeovers and transaction handles.
struct owner_identity {
    /// The daemon's name.
    std::string daemon_;
    /// Identifies this run of the daemon as the proposer of a term; unique among all runs of all daemons.
    std::string proposer_;
    std::uint64_t random_seed_ = 0;

    friend auto operator<=>(const owner_identity&, const owner_identity&) = default;
};

/// Serves the requests of one database group in the daemon that owns it: admission, connection pools, the
/// wait for a majority, retries and transactions.
///
/// Each request runs as a coroutine on the group's thread. The decision functions of `backends` decide; this
/// class executes their decisions. Thread safety: used by the thread of its executor only. Lifetime: held by
/// a `std::shared_ptr`; its coroutines keep it alive until `stop`. `Clock` outlives it.
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
          primary_admission_{std::make_shared<controller>(executor_, declaration_, clock_)},
          replica_admission_{std::make_shared<controller>(executor_, declaration_, clock_)} {
        for (const auto& database : declaration_->databases_) {
            pools_.emplace(database.name_,
                           std::make_unique<pool>(executor_, connection_opener{connector_, database.address_},
                                                  backends::connection_pool::limits_of(declaration_),
                                                  database.name_, random_()));
        }
    }

    /// Starts to monitor the group. Precondition: held by a `std::shared_ptr`; called once.
    void start() {
        monitor_->start();
        boost::asio::co_spawn(executor_, run_maintenance(this->shared_from_this()), boost::asio::detached);
    }

    /// Ends all coroutines and closes all connections. Requests in flight end as not run or unknown.
    void stop() {
        stopping_ = true;
        monitor_->stop();
        primary_admission_->stop();
        replica_admission_->stop();
        for (const auto& retired : retired_admissions_) {
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

    /// Applies a changed declaration without interruption: connections, view and open transactions are kept,
    /// and waiting requests keep their position in the old queues, which are removed once they are empty.
    /// Precondition: the databases are the same.
    void update_declaration(operators::service_declaration changed) {
        declaration_ = std::move(changed);
        for (auto& [name, connections] : pools_) {
            connections->set_limits(backends::connection_pool::limits_of(declaration_));
        }
        retired_admissions_.push_back(
            std::exchange(primary_admission_, std::make_shared<controller>(executor_, declaration_, clock_)));
        retired_admissions_.push_back(
            std::exchange(replica_admission_, std::make_shared<controller>(executor_, declaration_, clock_)));
        update_slots();
    }

    /// Executes a request, including its retries, and returns the final response. Precondition: `routed` is
    /// for this group.
    [[nodiscard]] boost::asio::awaitable<base::response> execute(routed_request routed) {
        const auto self = this->shared_from_this();
        const scoped_count counted{in_flight_};
        const auto deadline = clock_.now() + routed->request_->time_left_;
        switch (routed->request_->step_) {
        case base::transaction_step::none:
            co_return co_await execute_single(routed, deadline);
        case base::transaction_step::begin:
            co_return co_await begin_transaction(routed, deadline);
        case base::transaction_step::statement:
        case base::transaction_step::commit:
        case base::transaction_step::rollback:
            co_return co_await continue_transaction(routed, deadline);
        }
        co_return base::not_run(base::error{base::error_kind::invalid_request, "unknown transaction step"});
    }

    /// Returns the state of the group as this daemon knows it, for operators.
    [[nodiscard]] group_report report() const {
        group_report result{.group_ = declaration_->name_,
                            .term_ = monitor_->view().term(),
                            .open_transactions_ = transactions_.size()};
        if (const auto primary = monitor_->usable_primary()) {
            result.primary_ = primary->database_;
        }
        if (const auto committed = monitor_->view().committed()) {
            result.committed_index_ = committed->index();
        }
        for (const auto& database : monitor_->view().databases()) {
            result.databases_.push_back(report_of(database, declaration_));
        }
        add_ranks(result);
        return result;
    }

private:
    using time_point = base::clock::time_point;
    using duration = base::clock::duration;
    using connection = typename Connector::connection;
    using monitor = backends::group_monitor<Connector, Clock, Check>;
    using controller = admission_controller<Queue, Clock>;
    using statements_in_progress = running_statements<connection>;

    /// Opens the connections of one database's pool.
    struct connection_opener {
        Connector connector_;
        base::endpoint address_;

        boost::asio::awaitable<base::result<connection>> connect(duration timeout) {
            return connector_.connect(address_, timeout);
        }
    };

    using pool = backends::pooled_connections<connection, connection_opener>;
    using guard = typename pool::guard;

    /// A transaction that is open at a database.
    struct open_transaction {
        guard connection_;
        std::string database_;
        std::uint64_t term_ = 0;
        std::string tenant_;
        time_point used_at_{};
        /// Digest of all statements so far, to detect a key that is reused with another transaction.
        std::string fingerprint_;
        /// Whether one of its requests is in progress.
        bool busy_ = false;
    };

    [[nodiscard]] backends::group_monitor_settings monitor_settings() {
        return {.group_ = declaration_->name_,
                .databases_ = declaration_->databases_,
                .proposer_ = identity_.proposer_,
                .random_seed_ = random_()};
    }

    // --- requests outside transactions

    boost::asio::awaitable<base::response> execute_single(routed_request routed, time_point deadline) {
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
                // A failed settle is retried after a backoff until the deadline.
                if (kind == attempt_kind::settle) {
                    co_await http::sleep_for(retry_backoff(deadline));
                }
                kind = attempt_kind::settle;
                continue;
            }
            if (decision.next_ == backends::next_step::retry) {
                kind = attempt_kind::statements;
                co_await http::sleep_for(retry_backoff(deadline));
                continue;
            }
            co_return update_session_position(make_final_response(last, decision), request);
        }
    }

    /// What an attempt sends to the database group.
    enum class attempt_kind : std::uint8_t { statements, settle };

    // Uses two statements instead of a conditional expression because g++ 12 destroys the result of a
    // co_await inside a conditional operator twice.
    boost::asio::awaitable<attempt> make_attempt(routed_request routed, attempt_kind kind,
                                                 time_point deadline) {
        if (kind == attempt_kind::settle) {
            co_return co_await settle_outcome(routed, deadline);
        }
        co_return co_await attempt_statements(routed, deadline);
    }

    // After `stop` no further attempt is made, so that no request keeps running until its deadline.
    backends::outcome_decision decide(const routed_request& routed, const attempt& last,
                                      backends::earlier_attempts earlier, time_point deadline) {
        if (stopping_) {
            auto decision = decide_with_deadline(routed, last, earlier, clock_.now());
            if (decision.error_ == base::error_kind::deadline_expired) {
                decision.error_ = base::error_kind::shutting_down;
            }
            return decision;
        }
        return decide_with_deadline(routed, last, earlier, deadline);
    }

    backends::outcome_decision decide_with_deadline(const routed_request& routed, const attempt& last,
                                                    backends::earlier_attempts earlier, time_point deadline) {
        const auto& request = routed->request_;
        const backends::ended_attempt ended{
            .end_ = last->end_,
            .refusal_ = last->refusal_,
            .access_ = request->access_ == base::access::settle ? base::access::write : request->access_,
            .step_ = request->step_,
            .has_key_ = request->idempotency_key_.has_value(),
            .earlier_ = earlier,
            // A request shed by the queue is not retried, because a retry would add to the overload.
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
            const auto replica = co_await find_replica_for(routed, deadline);
            if (replica) {
                co_return co_await read_from_replica(routed, deadline);
            }
        }
        co_return co_await run_on_primary(routed, deadline);
    }

    boost::asio::awaitable<attempt> run_on_primary(routed_request routed, time_point deadline) {
        auto admission = co_await primary_admission_->admit(item_of(routed, deadline));
        if (!admission.ticket_) {
            co_return shed_attempt(*admission.refusal_);
        }
        const auto primary = co_await monitor_->wait_for_primary(deadline);
        if (!primary) {
            co_return failed_attempt(backends::attempt_end::not_sent, primary.last_reason().message());
        }
        const auto& request = routed->request_;
        if (request->session_ == base::session_state::with_token && request->token_.term() > primary->term_) {
            // The session has written through a newer primary than this daemon knows of.
            monitor_->report_refusal();
            co_return failed_attempt(backends::attempt_end::not_sent,
                                     "the owner of the database group does not know the newest term yet");
        }
        auto acquired = co_await pools_.at(primary->database_)->acquire(deadline);
        if (!acquired) {
            monitor_->report_suspicion(primary->database_);
            co_return failed_attempt(backends::attempt_end::not_sent, acquired.last_reason().message());
        }
        if (request->access_ == base::access::write && time_until(deadline) < min_time_to_run(request)) {
            acquired->give_back();
            co_return late_attempt();
        }
        const auto statements = statements_of(request, primary->term_);
        auto result = co_await send(*acquired, primary->database_, backends::statement_path::execute,
                                    statements, deadline);
        if (result) {
            acquired->give_back();
        }
        acquired = base::error{base::error_kind::internal, "returned to the pool"};
        admission.ticket_->release();
        co_return co_await finish_on_primary(routed, *primary, std::move(result), deadline);
    }

    // Evaluates a primary's response and waits until the group has committed its position.
    boost::asio::awaitable<attempt> finish_on_primary(routed_request routed,
                                                      backends::primary_location primary,
                                                      base::result<backends::execute_response> result,
                                                      time_point deadline) {
        if (!result) {
            monitor_->report_suspicion(primary.database_);
            co_return failed_attempt(backends::attempt_end::answer_lost, result.last_reason().message());
        }
        const auto response = *result;
        if (response->refusal_) {
            report_stale_view(*response->refusal_);
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
        co_return co_await await_commit(response->position_, response->results_, base::database_role::primary,
                                        backends::attempt_end::released, deadline);
    }

    boost::asio::awaitable<attempt> await_commit(base::log_position position,
                                                 std::vector<std::string> results,
                                                 base::database_role served_by,
                                                 backends::attempt_end end_on_commit, time_point deadline) {
        const auto committed = co_await monitor_->wait_until_committed(position, deadline);
        if (committed == backends::gate_result::released) {
            const attempt released{attempt_fields{.end_ = end_on_commit,
                                                  .results_ = std::move(results),
                                                  .position_ = position,
                                                  .served_by_ = served_by}};
            co_return released;
        }
        co_return failed_attempt(
            committed == backends::gate_result::term_changed ? backends::attempt_end::term_changed
                                                             : backends::attempt_end::gate_timed_out,
            "no majority of the group confirmed the response's position before the deadline");
    }

    // A read without a token has to see the newest write of its session, so it always needs a majority that
    // confirms the term. Any other read needs one that confirmed the term within the read's staleness bound.
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
        auto admission = co_await primary_admission_->admit(item_of(routed, deadline));
        if (!admission.ticket_) {
            co_return failed_attempt(backends::attempt_end::settle_failed,
                                     admission.refusal_->reason_.message());
        }
        const auto primary = co_await monitor_->wait_for_primary(deadline);
        if (!primary) {
            co_return failed_attempt(backends::attempt_end::settle_failed, primary.last_reason().message());
        }
        auto acquired = co_await pools_.at(primary->database_)->acquire(deadline);
        if (!acquired) {
            co_return failed_attempt(backends::attempt_end::settle_failed, acquired.last_reason().message());
        }
        const auto& request = routed->request_;
        const backends::settle_request settle{
            backends::settle_request_fields{.term_ = primary->term_,
                                            .key_ = recorded_key_of(request),
                                            .fingerprint_ = settle_fingerprint(request)}};
        const auto response = co_await send_settle(*acquired, primary->database_, settle, deadline);
        if (!response) {
            co_return failed_attempt(backends::attempt_end::settle_failed, response.last_reason().message());
        }
        acquired->give_back();
        admission.ticket_->release();
        const auto& settled = *response;
        if (settled->refusal_) {
            report_stale_view(*settled->refusal_);
            if (*settled->refusal_ == backends::refusal::key_conflict) {
                co_return refused_attempt(*settled->refusal_);
            }
            co_return failed_attempt(backends::attempt_end::settle_failed, "the database refused to settle");
        }
        const auto end = settled->outcome_ == backends::settled_outcome::done
                             ? backends::attempt_end::settled_done
                             : backends::attempt_end::settled_cancelled;
        attempt committed = co_await await_commit(settled->position_, settled->results_,
                                                  base::database_role::primary, end, deadline);
        if (committed->end_ != end) {
            co_return failed_attempt(backends::attempt_end::settle_failed, committed->reason_);
        }
        co_return committed;
    }

    // An outcome request does not carry the content, and a commit not the content of its transaction. Both
    // use an empty fingerprint, which matches any.
    [[nodiscard]] static std::string settle_fingerprint(const base::request& request) {
        const bool has_full_content =
            request->access_ != base::access::settle && request->step_ == base::transaction_step::none;
        return has_full_content ? fingerprint_of(request) : std::string{};
    }

    // --- reads from replicas

    // Returns what a read requires of a replica, or nothing if only the primary can serve it.
    [[nodiscard]] std::optional<backends::read_requirements>
    read_requirements_of(const routed_request& routed) const {
        const auto& request = routed->request_;
        if (request->session_ == base::session_state::without_token || routed->staleness_ == duration{0}) {
            return std::nullopt;
        }
        return backends::read_requirements_fields{
            .term_ = monitor_->view().term(), .minimum_ = request->token_, .staleness_ = routed->staleness_};
    }

    // Chooses a database for a read by the current view.
    [[nodiscard]] backends::replica_choice
    choose_database_for(const backends::read_requirements& requirements) {
        const auto primary = monitor_->view().primary();
        std::vector<backends::replica_candidate> candidates;
        for (const auto& database : monitor_->view().databases()) {
            if (database.status_ && primary != database.name_) {
                candidates.push_back(candidate_of(database));
            }
        }
        return backends::choose_replica(candidates, requirements, clock_.now(), random_());
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

    // Returns the replica that should serve the read, or nothing if the primary should. Holds no slot while
    // waiting for a replica to catch up.
    boost::asio::awaitable<std::optional<std::string>> find_replica_for(routed_request routed,
                                                                        time_point deadline) {
        const auto wait_until = std::min(deadline, clock_.now() + max_replica_wait);
        while (!stopping_) {
            const auto requirements = read_requirements_of(routed);
            if (!requirements) {
                co_return std::nullopt;
            }
            const auto timed =
                requirements->with([&](auto& fields) { fields.wait_left_ = time_until(wait_until); });
            const auto choice = choose_database_for(timed);
            if (choice->target_ == backends::read_target::replica) {
                co_return choice->name_;
            }
            if (choice->target_ == backends::read_target::primary) {
                co_return std::nullopt;
            }
            co_await http::sleep_for(std::min(choice->wait_, replica_poll_interval));
        }
        co_return std::nullopt;
    }

    // Runs a read on a replica, or on the primary if no replica is suitable once the read has its slot.
    boost::asio::awaitable<attempt> read_from_replica(routed_request routed, time_point deadline) {
        auto admission = co_await replica_admission_->admit(item_of(routed, deadline));
        if (!admission.ticket_) {
            co_return shed_attempt(*admission.refusal_);
        }
        const auto requirements = read_requirements_of(routed);
        const auto choice = choose_database_for(*requirements);
        if (choice->target_ != backends::read_target::replica) {
            admission.ticket_->release();
            co_return co_await run_on_primary(routed, deadline);
        }
        const auto database = choice->name_;
        // The staleness was judged by this position, so the replica must not have lost it since.
        const auto minimum = (*monitor_->view().find(database)->status_)->last_;
        auto acquired = co_await pools_.at(database)->acquire(deadline);
        if (!acquired) {
            monitor_->report_suspicion(database);
            co_return failed_attempt(backends::attempt_end::not_sent, acquired.last_reason().message());
        }
        const auto statements =
            statements_of(routed->request_, (*requirements)->term_).with([&](auto& fields) {
                fields.minimum_ = minimum;
            });
        const auto result =
            co_await send(*acquired, database, backends::statement_path::execute, statements, deadline);
        if (!result) {
            monitor_->report_suspicion(database);
            co_return failed_attempt(backends::attempt_end::answer_lost, result.last_reason().message());
        }
        acquired->give_back();
        admission.ticket_->release();
        if ((*result)->refusal_) {
            report_stale_view(*(*result)->refusal_);
            co_return refused_attempt(*(*result)->refusal_);
        }
        co_return co_await await_commit((*result)->position_, (*result)->results_,
                                        base::database_role::replica, backends::attempt_end::released,
                                        deadline);
    }

    // --- transactions

    boost::asio::awaitable<base::response> begin_transaction(routed_request routed, time_point deadline) {
        auto admission = co_await primary_admission_->admit(item_of(routed, deadline));
        if (!admission.ticket_) {
            co_return base::not_run(admission.refusal_->reason_, admission.refusal_->retry_after_);
        }
        const auto primary = co_await monitor_->wait_for_primary(deadline);
        if (!primary) {
            co_return base::not_run(primary.last_reason());
        }
        auto& connections = *pools_.at(primary->database_);
        if (!connections.has_room_for_transaction()) {
            // Waiting here would hold a slot for as long as callers leave their transactions open, and two
            // such waits would block all other work of the group.
            base::error full{base::error_kind::overloaded,
                             "all connections of the database that transactions may use are taken"};
            co_return base::not_run(std::move(full), transaction_retry_delay);
        }
        auto acquired = co_await connections.acquire(deadline, backends::connection_use::transaction);
        if (!acquired) {
            co_return base::not_run(acquired.last_reason());
        }
        const auto statements = statements_of(routed->request_, primary->term_);
        const auto result = co_await send(*acquired, primary->database_, backends::statement_path::begin,
                                          statements, deadline);
        if (!result || (*result)->refusal_) {
            if (result) {
                report_stale_view(*(*result)->refusal_);
            }
            co_return base::not_run(base::error{base::error_kind::transaction_aborted,
                                                result ? "the database refused to begin a transaction"
                                                       : result.last_reason().message()});
        }
        acquired->pause();
        const transaction_handle handle{identity_.daemon_, random_()};
        transactions_.emplace(handle.number(),
                              open_transaction{.connection_ = std::move(*acquired),
                                               .database_ = primary->database_,
                                               .term_ = primary->term_,
                                               .tenant_ = routed->request_->tenant_,
                                               .used_at_ = clock_.now(),
                                               .fingerprint_ = fingerprint_of(routed->request_)});
        co_return base::response{base::response_fields{.outcome_ = base::outcome::done,
                                                       .results_ = (*result)->results_,
                                                       .served_by_ = base::database_role::primary,
                                                       .transaction_ = handle.to_string()}};
    }

    boost::asio::awaitable<base::response> continue_transaction(routed_request routed, time_point deadline) {
        const auto& request = routed->request_;
        const auto handle = transaction_handle::parse(request->transaction_);
        const auto found = handle ? transactions_.find(handle->number()) : transactions_.end();
        if (found == transactions_.end() || found->second.tenant_ != request->tenant_) {
            co_return base::not_run(
                base::error{base::error_kind::unknown_transaction,
                            "no such transaction is open at the owner of the database group"});
        }
        if (found->second.busy_) {
            co_return base::not_run(
                base::error{base::error_kind::invalid_request,
                            "the previous request of the transaction is still in progress"});
        }
        found->second.busy_ = true;
        auto admission = co_await primary_admission_->admit(item_of(routed, deadline));
        const auto open = transactions_.find(handle->number());
        if (open == transactions_.end()) {
            co_return base::not_run(
                base::error{base::error_kind::transaction_aborted, "the transaction was rolled back"});
        }
        if (!admission.ticket_) {
            // The statement did not run, so the transaction is unchanged.
            open->second.busy_ = false;
            co_return base::not_run(admission.refusal_->reason_, admission.refusal_->retry_after_);
        }
        // Removed from the table while the request runs, so that any failure below closes its connection.
        auto transaction = std::move(open->second);
        transactions_.erase(open);
        if (const auto refused = co_await transaction.connection_.resume(deadline)) {
            co_return base::not_run(base::error{base::error_kind::transaction_aborted, refused->message()});
        }
        co_return co_await run_step(routed, handle->number(), std::move(transaction),
                                    std::move(*admission.ticket_), deadline);
    }

    boost::asio::awaitable<base::response> run_step(routed_request routed, std::uint64_t number,
                                                    open_transaction transaction,
                                                    typename controller::ticket slot, time_point deadline) {
        const auto& request = routed->request_;
        transaction.fingerprint_ = base::sha256_of(transaction.fingerprint_ + fingerprint_of(request));
        const auto statements = statements_of(request, transaction.term_).with([&transaction](auto& fields) {
            if (fields.key_) {
                fields.fingerprint_ = transaction.fingerprint_;
            }
        });
        auto result = co_await send(transaction.connection_, transaction.database_, path_of(request->step_),
                                    statements, deadline);
        // Settling a commit needs a slot of its own, and this step may hold the only one.
        slot.release();
        const bool ran = result && !(*result)->refusal_;
        if (request->step_ == base::transaction_step::statement && ran) {
            transaction.connection_.pause();
            transaction.used_at_ = clock_.now();
            transaction.busy_ = false;
            transactions_.emplace(number, std::move(transaction));
            co_return base::response{base::response_fields{.outcome_ = base::outcome::done,
                                                           .results_ = (*result)->results_,
                                                           .served_by_ = base::database_role::primary,
                                                           .transaction_ = request->transaction_}};
        }
        if (request->step_ == base::transaction_step::statement) {
            co_return base::not_run(base::error{base::error_kind::transaction_aborted,
                                                result ? "the database refused a statement of the transaction"
                                                       : result.last_reason().message()});
        }
        if (result) {
            transaction.connection_.give_back();
        } else {
            transaction.connection_.discard();
        }
        if (request->step_ == base::transaction_step::rollback) {
            // Also without a response: the connection is either closed or rolled back.
            co_return base::response{base::response_fields{.outcome_ = base::outcome::done}};
        }
        const backends::primary_location primary{
            .database_ = transaction.database_, .address_ = {}, .term_ = transaction.term_};
        attempt last = co_await finish_on_primary(routed, primary, std::move(result), deadline);
        auto decision = decide(routed, last, backends::earlier_attempts::none_ran, deadline);
        while (decision.next_ == backends::next_step::settle) {
            last = co_await settle_outcome(routed, deadline);
            decision = decide(routed, last, decision.earlier_, deadline);
            if (decision.next_ == backends::next_step::settle) {
                co_await http::sleep_for(retry_backoff(deadline));
            }
        }
        co_return update_session_position(make_final_response(last, decision), request);
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

    // --- helpers

    boost::asio::awaitable<base::result<backends::execute_response>>
    send(guard& acquired, std::string database, backends::statement_path path,
         backends::execute_request statements, time_point deadline) {
        const typename statements_in_progress::registration registered{
            running_, {std::move(database), statements->term_, &*acquired, clock_.now()}};
        co_return co_await acquired->run(path, statements, time_until(deadline));
    }

    // The connection is registered only until the response arrives: after it is returned to the pool it may
    // be closed or serve another request by the time the term changes.
    boost::asio::awaitable<base::result<backends::settle_response>>
    send_settle(guard& acquired, std::string database, backends::settle_request request,
                time_point deadline) {
        const typename statements_in_progress::registration registered{
            running_, {std::move(database), request->term_, &*acquired, clock_.now()}};
        co_return co_await acquired->settle(request, time_until(deadline));
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
    [[nodiscard]] static duration min_time_to_run(const base::request& request) {
        return std::min(max_reserved_run_time, request->time_left_ / 4);
    }

    [[nodiscard]] static attempt late_attempt() {
        return attempt_fields{
            .end_ = backends::attempt_end::not_sent,
            .shed_ = base::error{
                base::error_kind::deadline_expired,
                "too little time remained before the deadline to run the write and learn its outcome"}};
    }

    [[nodiscard]] static attempt shed_attempt(const typename controller::refusal& refused) {
        return attempt_fields{.end_ = backends::attempt_end::not_sent,
                              .shed_ = refused.reason_,
                              .retry_after_ = refused.retry_after_};
    }

    // Tells the monitor about a refusal that shows that its view of the primary is outdated.
    void report_stale_view(backends::refusal reason) {
        if (reason == backends::refusal::term_stale || reason == backends::refusal::not_primary ||
            reason == backends::refusal::leaving) {
            monitor_->report_refusal();
        }
    }

    [[nodiscard]] duration time_until(time_point deadline) const {
        return std::max(deadline - clock_.now(), duration{0});
    }

    // Uses full jitter, so that requests that failed at the same time are not retried at the same time.
    [[nodiscard]] duration retry_backoff(time_point deadline) {
        const auto max_backoff = std::min(max_retry_backoff, time_until(deadline) / 4);
        return duration{
            1 + static_cast<std::int64_t>(random_() % (static_cast<std::uint64_t>(max_backoff.count()) + 1))};
    }

    void add_ranks(group_report& result) const {
        const auto primary = primary_admission_->load();
        const auto replica = replica_admission_->load();
        for (std::size_t index = 0; index < primary->ranks_.size(); ++index) {
            const auto& on_primary = primary->ranks_[index];
            const auto& on_replica = replica->ranks_[index];
            result.ranks_.push_back(
                {.name_ = on_primary.rank_,
                 .queued_ = on_primary.queued_ + on_replica.queued_,
                 .running_ = on_primary.running_ + on_replica.running_,
                 .expected_wait_ = std::max(on_primary.expected_wait_, on_replica.expected_wait_)});
        }
    }

    // Periodically sets the slots by the reachable databases, cancels statements of a replaced primary,
    // closes idle transactions, and sends throttle notices.
    static boost::asio::awaitable<void> run_maintenance(std::shared_ptr<group_owner> self) {
        auto last_maintenance = self->clock_.now();
        while (!self->stopping_) {
            self->update_slots();
            self->record_primary_position();
            // A statement of a replaced primary can no longer be committed. Cancelling it lets the request
            // continue with the new primary at once.
            self->running_.cancel_before(self->monitor_->view().term());
            self->close_silent_connections();
            if (self->clock_.now() - last_maintenance >= maintenance_interval) {
                last_maintenance = self->clock_.now();
                self->maintain();
            }
            const bool busy = self->in_flight_ > 0;
            if (self->clock_.now() - self->announced_at_ >= throttle_interval &&
                (busy || self->is_throttling_)) {
                self->announce_throttling();
            }
            co_await http::sleep_for(busy ? busy_interval : idle_interval);
        }
    }

    // Sends the entry daemons the percentage of each rank to admit, as long as any is below 100.
    void announce_throttling() {
        announced_at_ = clock_.now();
        auto present =
            decide_throttling(declaration_, base::database_role::primary, primary_admission_->load());
        const auto reads =
            decide_throttling(declaration_, base::database_role::replica, replica_admission_->load());
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

    void update_slots() {
        const auto& view = monitor_->view();
        const auto primary = monitor_->usable_primary();
        primary_admission_->set_slots(primary ? declaration_->slots_ : 0);
        std::uint32_t replicas = 0;
        for (const auto& database : view.databases()) {
            const bool is_primary = primary && primary->database_ == database.name_;
            replicas += !is_primary && database.reachability_ == backends::reachability::reachable ? 1 : 0;
        }
        replica_admission_->set_slots(replicas * declaration_->slots_);
        std::erase_if(retired_admissions_, [](const auto& retired) { return retired->is_idle(); });
        for (const auto& retired : retired_admissions_) {
            // The connection pools keep the sum of old and new requests within the limit of each database.
            retired->set_slots(primary ? declaration_->slots_ : 0);
        }
    }

    // Records the primary's position for estimates of a replica's staleness. The time is the latest at which
    // both the primary had been asked for its position and a majority had been asked to confirm the term.
    void record_primary_position() {
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

    // When a network flow is lost, its connections get no response and no error. A statement that has been
    // silent for as long as the control connection is allowed to be is cancelled before its deadline, and
    // idle connections of the same age are not reused.
    void close_silent_connections() {
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
        const auto oldest = clock_.now() - transaction_idle_timeout;
        for (auto open = transactions_.begin(); open != transactions_.end();) {
            const bool abandoned = !open->second.busy_ && open->second.used_at_ < oldest;
            if (abandoned) {
                base::log_event(events::transaction_abandoned, {{"group", declaration_->name_}});
            }
            open = abandoned ? transactions_.erase(open) : std::next(open);
        }
    }

    static constexpr duration max_retry_backoff{100};
    static constexpr duration max_reserved_run_time{50};
    /// A read that would have to wait longer for a replica is sent to the primary.
    static constexpr duration max_replica_wait{50};
    static constexpr duration replica_poll_interval{5};
    static constexpr duration busy_interval{25};
    static constexpr duration idle_interval{250};
    static constexpr duration maintenance_interval{1'000};
    static constexpr duration throttle_interval{100};
    static constexpr duration transaction_idle_timeout{30'000};
    /// Sent as the retry delay to a caller whose transaction found no free connection.
    static constexpr duration transaction_retry_delay{1'000};

    boost::asio::any_io_executor executor_;
    operators::service_declaration declaration_;
    owner_identity identity_;
    Connector connector_;
    const Clock& clock_;
    Announcer announcer_;
    std::mt19937_64 random_;
    std::shared_ptr<monitor> monitor_;
    std::shared_ptr<controller> primary_admission_;
    std::shared_ptr<controller> replica_admission_;
    /// Controllers of earlier declarations in which requests still wait or run.
    std::vector<std::shared_ptr<controller>> retired_admissions_;
    std::map<std::string, std::unique_ptr<pool>> pools_;
    /// The time of the last lost flow of each database that has been handled.
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
