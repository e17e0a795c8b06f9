#pragma once

#include <backends/retry_decision.hpp>
#include <backends/service_group.hpp>
#include <base/clock.hpp>
#include <base/prepared_statement.hpp>
#include <http/sleep.hpp>

#include <boost/asio/awaitable.hpp>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace backends {

/// A client's statement as it goes to a database.
struct outgoing_statement {
    std::string id_;
    std::string text_;
    /// The prepared statement that it executes.
    std::optional<base::prepared_statement> prepared_;
    statement_effect effect_ = statement_effect::reads;

    friend auto operator<=>(const outgoing_statement&, const outgoing_statement&) = default;
};

using session_settings = std::map<std::string, std::string>;

/// A transaction that is open at a database.
template <database_protocol Protocol>
struct open_transaction {
    std::shared_ptr<service_group<Protocol>> group_;
    connection_grant<Protocol> grant_;
    bool has_written_ = false;
};

/// Runs statements and transactions at the databases of a service.
///
/// Every function is called on the group's thread. References to the session's settings stay valid until the
/// function returns. Thread safety: stateless.
template <database_protocol Protocol>
class statement_runner {
public:
    using group_pointer = std::shared_ptr<service_group<Protocol>>;
    using grant = connection_grant<Protocol>;
    using transaction = open_transaction<Protocol>;

    /// Runs a statement outside a transaction, at another database again where that is safe.
    [[nodiscard]] static boost::asio::awaitable<statement_response>
    run_single(group_pointer group, statement_requirements need, outgoing_statement statement,
               const session_settings& session, std::uint32_t most_attempts) {
        attempt_counts counts;
        statement_trace trace;
        for (;;) {
            auto need_now = need;
            auto granted = co_await group->acquire(std::move(need_now), session);
            note_attempt(trace, granted);
            if (!granted.is_granted()) {
                co_return traced(statement_status::overloaded, granted.refusal_, trace);
            }
            auto reply = co_await run_granted(*group, granted, statement, need.deadline_, session);
            finish_single(*group, granted, reply);
            reply.trace_ = trace;
            if (reply.status_ == statement_status::done) {
                const bool is_lost_lead =
                    statement.effect_ == statement_effect::writes && !group->may_acknowledge(granted);
                if (is_lost_lead) {
                    co_return traced(statement_status::unknown, "the primary may have been replaced", trace);
                }
                co_return reply;
            }
            (has_not_run(reply.status_) ? counts.refused_ : counts.failed_) += 1;
            const auto decision = decide_retry(reply.status_, statement.effect_, counts, most_attempts);
            if (decision == retry_decision::response) {
                co_return response_of(std::move(reply), *granted.connection_);
            }
            if (decision == retry_decision::refuse) {
                co_return traced(statement_status::overloaded, reply.detail_, trace);
            }
            if (decision == retry_decision::pause) {
                co_await http::sleep_for(pause_before_retry);
            } else {
                need.excluded_.insert(granted.connection_->database());
            }
        }
    }

    /// Begins a transaction at a database and runs its first statement. On success `opened` holds it.
    [[nodiscard]] static boost::asio::awaitable<statement_response>
    begin_with_statement(group_pointer group, statement_requirements need, transaction_access access,
                         outgoing_statement statement, const session_settings& session,
                         std::optional<transaction>& opened) {
        attempt_counts counts;
        statement_trace trace;
        for (;;) {
            auto need_now = need;
            auto granted = co_await group->acquire(std::move(need_now), session);
            note_attempt(trace, granted);
            if (!granted.is_granted()) {
                co_return traced(statement_status::overloaded, granted.refusal_, trace);
            }
            auto begun = co_await begin(granted, access, statement, need.deadline_, session);
            if (begun.status_ == statement_status::done && begun.state_ == transaction_state::open) {
                transaction started{group, granted, false};
                auto reply = co_await run_inside(started, std::move(statement), need.deadline_, session,
                                                 counted::already);
                if (started.grant_.connection_) {
                    opened = std::move(started);
                }
                reply.trace_ = trace;
                co_return reply;
            }
            const auto sent_at = base::clock::now();
            group->note_response(granted, begun, sent_at);
            group->end_statement(granted);
            if (begun.status_ == statement_status::done || begun.state_ != transaction_state::none) {
                granted.connection_->close();
            }
            group->release(granted);
            ++counts.refused_;
            // Nothing of the transaction has run, whatever became of its begin.
            if (counts.refused_ > most_begin_attempts || base::clock::now() >= need.deadline_) {
                co_return traced(statement_status::aborted,
                                 std::string{"begin: "}.append(name_of(begun.status_)), trace);
            }
            if (need.placement_ == placement::primary_only) {
                co_await http::sleep_for(pause_before_retry);
            } else {
                need.excluded_.insert(granted.connection_->database());
            }
        }
    }

    /// Runs a further statement of a transaction. When the transaction's connection is lost, its grant is
    /// empty afterwards.
    [[nodiscard]] static boost::asio::awaitable<statement_response>
    run_in_open_transaction(transaction& current, outgoing_statement statement,
                            base::clock::time_point expires_at, const session_settings& session) {
        return run_inside(current, std::move(statement), expires_at, session, counted::not_yet);
    }

    /// Commits a transaction; its connection is returned. The client's own text and id are sent.
    [[nodiscard]] static boost::asio::awaitable<statement_response>
    commit(transaction current, outgoing_statement statement, base::clock::time_point expires_at) {
        auto& group = *current.group_;
        auto& connection = *current.grant_.connection_;
        const bool was_open = connection.is_open();
        const auto sent_at = base::clock::now();
        group.begin_statement(current.grant_);
        auto line = Protocol::statement(statement.id_, statement.text_, std::nullopt);
        auto reply = co_await connection.run(std::move(line), 1, expires_at);
        group.note_response(current.grant_, reply, sent_at);
        const bool may_acknowledge = !current.has_written_ || group.may_acknowledge(current.grant_);
        if (reply.state_ != transaction_state::none) {
            connection.close();
        }
        group.end_statement(current.grant_);
        group.release(current.grant_);
        reply.state_ = transaction_state::none;
        reply.trace_ = pinned_trace(connection);
        if (!was_open) {
            co_return traced(statement_status::aborted, "the transaction's connection was closed",
                             reply.trace_);
        }
        if (reply.status_ == statement_status::done && !may_acknowledge) {
            co_return traced(statement_status::unknown, "the primary may have been replaced", reply.trace_);
        }
        if (has_not_run(reply.status_)) {
            connection.close();
            co_return traced(statement_status::aborted, reply.detail_, reply.trace_);
        }
        co_return response_of(std::move(reply), connection);
    }

    /// Begins and commits a transaction without statements.
    [[nodiscard]] static boost::asio::awaitable<statement_response>
    commit_empty(group_pointer group, statement_requirements need, transaction_access access,
                 outgoing_statement statement, const session_settings& session) {
        const auto expires_at = need.deadline_;
        auto granted = co_await group->acquire(std::move(need), session);
        if (!granted.is_granted()) {
            co_return make_response(statement_status::overloaded, granted.refusal_, transaction_state::none);
        }
        const auto begun = co_await begin(granted, access, statement, expires_at, session);
        group->end_statement(granted);
        if (begun.status_ != statement_status::done || begun.state_ != transaction_state::open) {
            granted.connection_->close();
            group->release(granted);
            co_return make_response(statement_status::aborted, begun.detail_, transaction_state::none);
        }
        transaction started{group, granted, false};
        co_return co_await commit(std::move(started), std::move(statement), expires_at);
    }

    /// Rolls a transaction back and returns its connection.
    [[nodiscard]] static boost::asio::awaitable<void> roll_back(transaction current) {
        auto& connection = *current.grant_.connection_;
        const auto expires_at = base::clock::now() + rollback_limit;
        auto line = Protocol::rollback();
        const auto reply = co_await connection.run(std::move(line), 1, expires_at);
        if (reply.status_ != statement_status::done || reply.state_ != transaction_state::none) {
            connection.close();
        }
        current.group_->release(current.grant_);
    }

    /// Gives up a transaction by closing its connection, which rolls it back.
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
    }

    /// Returns the trace of a statement that runs where its transaction was begun.
    static statement_trace pinned_trace(const statement_connection<Protocol>& connection) {
        statement_trace trace;
        trace.database_ = connection.database();
        trace.attempts_ = 1;
        return trace;
    }

    static statement_response traced(statement_status status, std::string detail, statement_trace trace) {
        auto reply = make_response(status, std::move(detail), transaction_state::none);
        reply.trace_ = std::move(trace);
        return reply;
    }

    enum class counted : std::uint8_t { already, not_yet };

    struct message_batch {
        std::string bytes_;
        std::size_t count_ = 0;

        void add(std::string message) {
            bytes_.append(message);
            ++count_;
        }
    };

    static message_batch messages_for(const content_change& change) {
        message_batch batch;
        if (change.reset_) {
            batch.add(Protocol::reset());
        }
        for (const auto& [name, value] : change.values_) {
            batch.add(Protocol::set_value(name, value));
        }
        if (change.prepare_) {
            batch.add(Protocol::prepare(*change.prepare_));
        }
        return batch;
    }

    /// Sends what a statement needs first. Returns the reply to the last message; nothing was needed: `done`.
    [[nodiscard]] static boost::asio::awaitable<statement_response>
    send_batch(statement_connection<Protocol>& connection, message_batch batch, content_change change,
               base::clock::time_point expires_at) {
        if (batch.count_ == 0) {
            co_return make_response(statement_status::done, {}, transaction_state::none);
        }
        auto reply = co_await connection.run(std::move(batch.bytes_), batch.count_, expires_at);
        if (reply.status_ == statement_status::done) {
            connection.content().apply(change);
        }
        co_return reply;
    }

    /// Brings the connection to the session's values. A failure closes it and promises that the statement has
    /// not run.
    [[nodiscard]] static boost::asio::awaitable<std::optional<statement_response>>
    prepare_connection(statement_connection<Protocol>& connection, const outgoing_statement& statement,
                       base::clock::time_point expires_at, const session_settings& session) {
        auto change = connection.content().change_for(session, statement.prepared_);
        auto batch = messages_for(change);
        const auto reply = co_await send_batch(connection, std::move(batch), std::move(change), expires_at);
        if (reply.status_ == statement_status::done) {
            co_return std::nullopt;
        }
        connection.close();
        co_return make_response(statement_status::overloaded, "the connection could not be prepared",
                                transaction_state::none);
    }

    [[nodiscard]] static boost::asio::awaitable<statement_response>
    run_granted(service_group<Protocol>& group, const grant& granted, const outgoing_statement& statement,
                base::clock::time_point expires_at, const session_settings& session) {
        auto& connection = *granted.connection_;
        auto failure = co_await prepare_connection(connection, statement, expires_at, session);
        if (failure) {
            co_return std::move(*failure);
        }
        const auto sent_at = base::clock::now();
        const auto needed =
            statement.effect_ == statement_effect::reads ? granted.required_position_ : std::nullopt;
        auto line = Protocol::statement(statement.id_, statement.text_, needed);
        auto reply = co_await connection.run(std::move(line), 1, expires_at);
        group.note_response(granted, reply, sent_at);
        co_return reply;
    }

    static void finish_single(service_group<Protocol>& group, const grant& granted,
                              const statement_response& reply) {
        if (reply.state_ != transaction_state::none) {
            granted.connection_->close();
        }
        group.end_statement(granted);
        group.release(granted);
    }

    /// Sends the session's values and the begin in one go.
    [[nodiscard]] static boost::asio::awaitable<statement_response>
    begin(const grant& granted, transaction_access access, const outgoing_statement& statement,
          base::clock::time_point expires_at, const session_settings& session) {
        auto& connection = *granted.connection_;
        auto change = connection.content().change_for(session, statement.prepared_);
        auto batch = messages_for(change);
        batch.add(Protocol::begin(access, granted.required_position_));
        const auto count_before = batch.count_ - 1;
        auto reply = co_await connection.run(std::move(batch.bytes_), batch.count_, expires_at);
        const bool is_open = connection.is_open();
        if (is_open && (count_before == 0 || reply.status_ != statement_status::unknown)) {
            connection.content().apply(change);
        }
        co_return reply;
    }

    [[nodiscard]] static boost::asio::awaitable<statement_response>
    run_inside(transaction& current, outgoing_statement statement, base::clock::time_point expires_at,
               const session_settings& session, counted state) {
        auto& group = *current.group_;
        const auto granted = current.grant_;
        auto& connection = *granted.connection_;
        if (state == counted::not_yet) {
            group.begin_statement(granted);
        }
        auto failure = co_await prepare_connection(connection, statement, expires_at, session);
        statement_response reply;
        if (failure) {
            reply = std::move(*failure);
        } else {
            const auto sent_at = base::clock::now();
            auto line = Protocol::statement(statement.id_, statement.text_, std::nullopt);
            reply = co_await connection.run(std::move(line), 1, expires_at);
            group.note_response(granted, reply, sent_at);
        }
        group.end_statement(granted);
        reply.trace_ = pinned_trace(connection);
        if (reply.status_ == statement_status::done && reply.state_ == transaction_state::open) {
            current.has_written_ = current.has_written_ || statement.effect_ == statement_effect::writes;
            co_return reply;
        }
        if (!connection.is_open()) {
            group.release(granted);
            current.grant_.connection_.reset();
            // The commit was not sent, so the database rolls back whatever the statement did.
            co_return traced(statement_status::aborted, "the transaction's connection was lost",
                             reply.trace_);
        }
        reply.state_ = transaction_state::failed;
        if (has_not_run(reply.status_)) {
            reply.status_ = statement_status::aborted;
        }
        co_return reply;
    }

    static statement_response response_of(statement_response reply,
                                          const statement_connection<Protocol>& connection) {
        if (reply.status_ == statement_status::unknown && connection.has_timed_out()) {
            reply.status_ = statement_status::timed_out;
        }
        return reply;
    }

    // Gives a database whose queue is full, or a takeover that is ending, a moment.
    static constexpr base::clock::duration pause_before_retry{8};
    static constexpr base::clock::duration rollback_limit{500};
    static constexpr std::uint32_t most_begin_attempts = 5;
};

} // namespace backends
