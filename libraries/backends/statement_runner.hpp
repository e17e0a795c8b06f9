#pragma once

#include <backends/retry_decision.hpp>
#include <backends/service_group.hpp>
#include <base/clock.hpp>
#include <base/prepared_statement.hpp>
#include <http/sleep.hpp>

#include <boost/asio/awaitable.hpp>

#include <concepts>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace backends {

/// A client's statement as it is sent to a database.
struct outgoing_statement {
    std::string id_;
    /// The complete text; empty if it executes a prepared statement.
    std::string text_;
    /// The prepared statement that it executes, if any.
    std::optional<base::prepared_statement> prepared_;
    /// The text after the name of the prepared statement.
    std::string argument_;
    statement_effect effect_ = statement_effect::reads;

    friend auto operator<=>(const outgoing_statement&, const outgoing_statement&) = default;
};

using session_settings = std::map<std::string, std::string>;

/// Decides, once a statement has been granted a connection, whether it may still run. The refusal is a status
/// of a statement that has not run.
template <typename Admission>
concept statement_admission = requires(const Admission& admission) {
    { admission.refusal() } -> std::same_as<std::optional<statement_status>>;
};

/// A transaction that is open at a database.
template <database_protocol Protocol>
struct open_transaction {
    std::shared_ptr<service_group<Protocol>> group_;
    connection_grant<Protocol> grant_;
    bool has_written_ = false;
};

/// Runs statements and transactions at the databases of a service.
///
/// Every function must be called on the group's thread. A reference to the session's settings must stay valid
/// until the coroutine completes. Thread safety: stateless.
template <database_protocol Protocol>
class statement_runner {
public:
    using group_pointer = std::shared_ptr<service_group<Protocol>>;
    using grant = connection_grant<Protocol>;
    using transaction = open_transaction<Protocol>;

    /// Runs a statement outside a transaction and retries it at another database where that is safe.
    template <statement_admission Admission>
    [[nodiscard]] static boost::asio::awaitable<statement_response>
    run_single(group_pointer group, statement_requirements requirements, outgoing_statement statement,
               const session_settings& session, std::uint32_t max_attempts, Admission admission) {
        attempt_counts counts;
        statement_trace trace;
        for (;;) {
            auto requirements_copy = requirements;
            auto granted = co_await group->acquire(std::move(requirements_copy), session);
            note_attempt(trace, granted);
            if (!granted.is_granted()) {
                co_return traced(statement_status::overloaded, granted.refusal_, trace);
            }
            if (const auto refusal = admission.refusal()) {
                release_unused(*group, granted);
                co_return traced(*refusal, key_changed, trace);
            }
            auto response =
                co_await run_granted(*group, granted, statement, requirements.deadline_, session, trace);
            finish_single(*group, granted, response);
            response.trace_ = trace;
            if (response.status_ == statement_status::done) {
                const bool may_be_replaced =
                    statement.effect_ == statement_effect::writes && !group->may_acknowledge(granted);
                if (may_be_replaced) {
                    co_return traced(statement_status::unknown, "the primary may have been replaced", trace);
                }
                co_return response;
            }
            (has_not_run(response.status_) ? counts.refused_ : counts.failed_) += 1;
            const auto decision = decide_retry(response.status_, statement.effect_, counts, max_attempts);
            if (decision == retry_decision::respond) {
                co_return with_timeout_status(std::move(response), *granted.connection_);
            }
            if (decision == retry_decision::refuse) {
                co_return traced(statement_status::overloaded, response.detail_, trace);
            }
            if (decision == retry_decision::retry_later) {
                co_await http::sleep_for(primary_retry_delay);
            } else {
                requirements.excluded_.insert(granted.connection_->database());
            }
        }
    }

    /// Begins a transaction at a database and runs its first statement. On success, `opened` holds the
    /// transaction.
    template <statement_admission Admission>
    [[nodiscard]] static boost::asio::awaitable<statement_response>
    begin_with_statement(group_pointer group, statement_requirements requirements, transaction_access access,
                         outgoing_statement statement, const session_settings& session,
                         std::optional<transaction>& opened, Admission admission) {
        attempt_counts counts;
        statement_trace trace;
        for (;;) {
            auto requirements_copy = requirements;
            auto granted = co_await group->acquire(std::move(requirements_copy), session);
            note_attempt(trace, granted);
            if (!granted.is_granted()) {
                co_return traced(statement_status::overloaded, granted.refusal_, trace);
            }
            if (admission.refusal()) {
                release_unused(*group, granted);
                co_return traced(statement_status::aborted, key_changed, trace);
            }
            auto begin_response =
                co_await begin(*group, granted, access, statement, requirements.deadline_, session);
            if (begin_response.status_ == statement_status::done &&
                begin_response.state_ == transaction_state::open) {
                transaction started{group, granted, false};
                auto response = co_await run_inside(started, std::move(statement), requirements.deadline_,
                                                    session, statement_count_state::counted);
                if (started.grant_.connection_) {
                    opened = std::move(started);
                }
                trace.prepared_name_ = std::move(response.trace_.prepared_name_);
                response.trace_ = trace;
                co_return response;
            }
            group->note_response(granted, begin_response);
            group->end_statement(granted);
            if (begin_response.status_ == statement_status::done ||
                begin_response.state_ != transaction_state::none) {
                granted.connection_->close();
            }
            group->release(granted);
            ++counts.refused_;
            // No statement of the transaction has run, whatever the result of the begin was.
            if (counts.refused_ > max_begin_attempts || base::clock::now() >= requirements.deadline_) {
                co_return traced(statement_status::aborted,
                                 std::string{"begin: "}.append(name_of(begin_response.status_)), trace);
            }
            if (requirements.placement_ == placement::primary_only) {
                co_await http::sleep_for(primary_retry_delay);
            } else {
                requirements.excluded_.insert(granted.connection_->database());
            }
        }
    }

    /// Runs a further statement of an open transaction. If the transaction's connection is lost, its grant is
    /// empty afterwards.
    [[nodiscard]] static boost::asio::awaitable<statement_response>
    run_in_open_transaction(transaction& current, outgoing_statement statement,
                            base::clock::time_point deadline, const session_settings& session) {
        return run_inside(current, std::move(statement), deadline, session, statement_count_state::uncounted);
    }

    /// Commits a transaction with the client's own statement text and id, and releases its connection.
    [[nodiscard]] static boost::asio::awaitable<statement_response> commit(transaction current,
                                                                           outgoing_statement statement,
                                                                           base::clock::time_point deadline,
                                                                           const session_settings& session) {
        auto& group = *current.group_;
        auto& connection = *current.grant_.connection_;
        group.begin_statement(current.grant_);
        // The session may have set a value since its last statement.
        const auto failure = co_await prepare_connection(group, connection, statement, deadline, session);
        if (failure || !connection.is_open()) {
            group.end_statement(current.grant_);
            group.release(current.grant_);
            co_return traced(statement_status::aborted, "the transaction's connection was closed",
                             pinned_trace(connection));
        }
        auto line = Protocol::statement(statement.id_, statement.text_, std::nullopt);
        auto response = co_await connection.run(std::move(line), 1, deadline);
        group.note_response(current.grant_, response);
        const bool may_acknowledge = !current.has_written_ || group.may_acknowledge(current.grant_);
        if (response.state_ != transaction_state::none) {
            connection.close();
        }
        group.end_statement(current.grant_);
        group.release(current.grant_);
        response.state_ = transaction_state::none;
        response.trace_ = pinned_trace(connection);
        if (response.status_ == statement_status::done && !may_acknowledge) {
            co_return traced(statement_status::unknown, "the primary may have been replaced",
                             response.trace_);
        }
        if (has_not_run(response.status_)) {
            connection.close();
            co_return traced(statement_status::aborted, response.detail_, response.trace_);
        }
        co_return with_timeout_status(std::move(response), connection);
    }

    /// Begins and commits a transaction that contains no statements.
    template <statement_admission Admission>
    [[nodiscard]] static boost::asio::awaitable<statement_response>
    commit_empty(group_pointer group, statement_requirements requirements, transaction_access access,
                 outgoing_statement statement, const session_settings& session, Admission admission) {
        const auto deadline = requirements.deadline_;
        auto granted = co_await group->acquire(std::move(requirements), session);
        if (!granted.is_granted()) {
            co_return make_response(statement_status::overloaded, granted.refusal_, transaction_state::none);
        }
        if (admission.refusal()) {
            release_unused(*group, granted);
            co_return make_response(statement_status::aborted, key_changed, transaction_state::none);
        }
        const auto begin_response = co_await begin(*group, granted, access, statement, deadline, session);
        group->end_statement(granted);
        if (begin_response.status_ != statement_status::done ||
            begin_response.state_ != transaction_state::open) {
            granted.connection_->close();
            group->release(granted);
            co_return make_response(statement_status::aborted, begin_response.detail_,
                                    transaction_state::none);
        }
        transaction started{group, granted, false};
        co_return co_await commit(std::move(started), std::move(statement), deadline, session);
    }

    /// Rolls a transaction back and releases its connection.
    [[nodiscard]] static boost::asio::awaitable<void> roll_back(transaction current) {
        auto& connection = *current.grant_.connection_;
        const auto deadline = base::clock::now() + rollback_timeout;
        auto line = Protocol::rollback();
        const auto response = co_await connection.run(std::move(line), 1, deadline);
        if (response.status_ != statement_status::done || response.state_ != transaction_state::none) {
            connection.close();
        }
        current.group_->release(current.grant_);
    }

    /// Abandons a transaction by closing its connection, which makes the database roll it back.
    static void abandon(transaction& current) {
        current.grant_.connection_->close();
        current.group_->release(current.grant_);
        current.grant_.connection_.reset();
    }

private:
    static void note_attempt(statement_trace& trace, const grant& granted) {
        ++trace.attempts_;
        trace.waited_ += granted.waited_;
        trace.required_position_ = granted.required_position_;
        trace.database_ = granted.is_granted() ? granted.connection_->database() : std::string{};
        trace.connection_ = granted.is_granted() ? granted.connection_->number() : 0;
        trace.prepared_name_.clear();
    }

    /// Returns the trace of a statement inside a transaction, which runs where the transaction was begun.
    static statement_trace pinned_trace(const statement_connection<Protocol>& connection) {
        statement_trace trace;
        trace.database_ = connection.database();
        trace.connection_ = connection.number();
        trace.attempts_ = 1;
        return trace;
    }

    static void note_sent(statement_trace& trace, statement_connection<Protocol>& connection,
                          const outgoing_statement& statement) {
        if (statement.prepared_) {
            trace.prepared_name_ =
                Protocol::prepared_name(connection.content().name_of(*statement.prepared_));
        }
    }

    static void note_change(service_group<Protocol>& group, const statement_connection<Protocol>& connection,
                            const content_change& change, const outgoing_statement& statement) {
        if (change.prepare_) {
            group.note_preparation(connection, change.prepare_->statement_,
                                   Protocol::prepared_name(change.prepare_->name_), statement.id_);
        }
    }

    static statement_response traced(statement_status status, std::string detail, statement_trace trace) {
        auto response = make_response(status, std::move(detail), transaction_state::none);
        response.trace_ = std::move(trace);
        return response;
    }

    enum class statement_count_state : std::uint8_t { counted, uncounted };

    struct message_batch {
        std::string bytes_;
        std::size_t count_ = 0;

        void add(std::string message) {
            bytes_.append(message);
            ++count_;
        }
    };

    static message_batch encode_change(const content_change& change) {
        message_batch batch;
        if (change.reset_) {
            batch.add(Protocol::reset());
        }
        for (const auto& [name, value] : change.values_) {
            batch.add(Protocol::set_value(name, value));
        }
        if (change.prepare_) {
            batch.add(Protocol::prepare(change.prepare_->name_, change.prepare_->statement_));
        }
        return batch;
    }

    /// Sends the messages that have to precede a statement. Returns the response to the last one, or `done`
    /// if there are none.
    [[nodiscard]] static boost::asio::awaitable<statement_response>
    send_batch(statement_connection<Protocol>& connection, message_batch batch, content_change change,
               base::clock::time_point deadline) {
        if (batch.count_ == 0) {
            co_return make_response(statement_status::done, {}, transaction_state::none);
        }
        auto response = co_await connection.run(std::move(batch.bytes_), batch.count_, deadline);
        if (response.status_ == statement_status::done) {
            connection.content().apply(change);
        }
        co_return response;
    }

    /// Applies the session's values to the connection. On failure, closes the connection and returns a
    /// response whose status guarantees that the statement has not run.
    [[nodiscard]] static boost::asio::awaitable<std::optional<statement_response>>
    prepare_connection(service_group<Protocol>& group, statement_connection<Protocol>& connection,
                       const outgoing_statement& statement, base::clock::time_point deadline,
                       const session_settings& session) {
        auto change = connection.content().change_for(session, statement.prepared_);
        note_change(group, connection, change, statement);
        auto batch = encode_change(change);
        const auto response = co_await send_batch(connection, std::move(batch), std::move(change), deadline);
        if (response.status_ == statement_status::done) {
            co_return std::nullopt;
        }
        connection.close();
        co_return make_response(statement_status::overloaded, "the connection could not be prepared",
                                transaction_state::none);
    }

    /// Encodes a statement for a connection. Precondition: the statement that it executes is prepared there.
    static std::string encode_statement(statement_connection<Protocol>& connection,
                                        const outgoing_statement& statement,
                                        std::optional<base::log_position> required_position) {
        if (!statement.prepared_) {
            return Protocol::statement(statement.id_, statement.text_, required_position);
        }
        const auto name = connection.content().name_of(*statement.prepared_);
        return Protocol::execute(statement.id_, name, statement.argument_, required_position);
    }

    [[nodiscard]] static boost::asio::awaitable<statement_response>
    run_granted(service_group<Protocol>& group, const grant& granted, const outgoing_statement& statement,
                base::clock::time_point deadline, const session_settings& session, statement_trace& trace) {
        auto& connection = *granted.connection_;
        auto failure = co_await prepare_connection(group, connection, statement, deadline, session);
        if (failure) {
            co_return std::move(*failure);
        }
        const auto required_position =
            statement.effect_ == statement_effect::reads ? granted.required_position_ : std::nullopt;
        note_sent(trace, connection, statement);
        auto line = encode_statement(connection, statement, required_position);
        auto response = co_await connection.run(std::move(line), 1, deadline);
        group.note_response(granted, response);
        co_return response;
    }

    /// Returns a connection on which nothing was sent.
    static void release_unused(service_group<Protocol>& group, const grant& granted) {
        group.end_statement(granted);
        group.release(granted);
    }

    static void finish_single(service_group<Protocol>& group, const grant& granted,
                              const statement_response& response) {
        if (response.state_ != transaction_state::none) {
            granted.connection_->close();
        }
        group.end_statement(granted);
        group.release(granted);
    }

    /// Sends the session's values and the begin in one batch.
    [[nodiscard]] static boost::asio::awaitable<statement_response>
    begin(service_group<Protocol>& group, const grant& granted, transaction_access access,
          const outgoing_statement& statement, base::clock::time_point deadline,
          const session_settings& session) {
        auto& connection = *granted.connection_;
        auto change = connection.content().change_for(session, statement.prepared_);
        note_change(group, connection, change, statement);
        auto batch = encode_change(change);
        batch.add(Protocol::begin(access, granted.required_position_));
        auto response = co_await connection.run(std::move(batch.bytes_), batch.count_, deadline);
        // Open means that all messages before the begin succeeded, whatever its own response is.
        if (connection.is_open()) {
            connection.content().apply(change);
        }
        co_return response;
    }

    [[nodiscard]] static boost::asio::awaitable<statement_response>
    run_inside(transaction& current, outgoing_statement statement, base::clock::time_point deadline,
               const session_settings& session, statement_count_state count_state) {
        auto& group = *current.group_;
        const auto granted = current.grant_;
        auto& connection = *granted.connection_;
        if (count_state == statement_count_state::uncounted) {
            group.begin_statement(granted);
        }
        auto failure = co_await prepare_connection(group, connection, statement, deadline, session);
        auto trace = pinned_trace(connection);
        statement_response response;
        if (failure) {
            response = std::move(*failure);
        } else {
            note_sent(trace, connection, statement);
            auto line = encode_statement(connection, statement, std::nullopt);
            response = co_await connection.run(std::move(line), 1, deadline);
            group.note_response(granted, response);
        }
        group.end_statement(granted);
        response.trace_ = std::move(trace);
        if (response.status_ == statement_status::done && response.state_ == transaction_state::open) {
            current.has_written_ = current.has_written_ || statement.effect_ == statement_effect::writes;
            co_return response;
        }
        if (!connection.is_open()) {
            group.release(granted);
            current.grant_.connection_.reset();
            // The commit was not sent, so the database rolls the transaction back.
            co_return traced(statement_status::aborted, "the transaction's connection was lost",
                             response.trace_);
        }
        response.state_ = transaction_state::failed;
        if (has_not_run(response.status_)) {
            response.status_ = statement_status::aborted;
        }
        co_return response;
    }

    static statement_response with_timeout_status(statement_response response,
                                                  const statement_connection<Protocol>& connection) {
        if (response.status_ == statement_status::unknown && connection.has_timed_out()) {
            response.status_ = statement_status::timed_out;
        }
        return response;
    }

    static constexpr const char* key_changed =
        "the API key was withdrawn or moved while the statement waited";
    // Leaves time for a full queue to drain or for a takeover to complete.
    static constexpr base::clock::duration primary_retry_delay{8};
    static constexpr base::clock::duration rollback_timeout{500};
    static constexpr std::uint32_t max_begin_attempts = 5;
};

} // namespace backends
