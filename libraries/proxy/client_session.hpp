#pragma once

#include <backends/statement_runner.hpp>
#include <base/clock.hpp>
#include <base/event.hpp>
#include <callers/session_message.hpp>
#include <callers/session_progress.hpp>
#include <callers/session_values.hpp>
#include <http/line_socket.hpp>
#include <operators/session_routes.hpp>
#include <proxy/events.hpp>
#include <proxy/session_shared_state.hpp>
#include <proxy/statement_recorder.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>

namespace proxy {

/// Finds the group of a service and the thread that owns it.
template <typename Directory, typename Protocol>
concept group_directory = requires(Directory& directory, const std::string& service) {
    { directory.group_of(service) } -> std::same_as<std::shared_ptr<backends::service_group<Protocol>>>;
    directory.executor_of(service);
    { directory.is_owned_here(service) } -> std::same_as<bool>;
};

/// One client connection: its values, prepared statements and transaction.
///
/// Each statement gets one answer. What needs no database is answered here; the rest runs on the thread that
/// owns the service. Thread safety: used by the thread of its socket only. Lifetime: held by its coroutine.
template <backends::database_protocol Protocol, typename Directory>
requires group_directory<Directory, Protocol>
class client_session : public std::enable_shared_from_this<client_session<Protocol, Directory>> {
public:
    client_session(boost::asio::ip::tcp::socket socket, Directory& directory, session_shared_state& shared,
                   statement_recorder& recorder)
        : socket_{std::move(socket)}, directory_{directory}, shared_{shared}, recorder_{recorder} {
        socket_.set_unacknowledged_timeout(client_silence);
    }

    /// Serves the session to its end.
    [[nodiscard]] boost::asio::awaitable<void> serve() {
        if (co_await start()) {
            bool goes_on = true;
            while (goes_on) {
                is_waiting_ = true;
                waiting_since_ = base::clock::now();
                const auto line = co_await socket_.read_line(Protocol::max_line_bytes);
                is_waiting_ = false;
                if (!line) {
                    break;
                }
                goes_on = co_await serve_line(*line);
            }
        }
        co_await end_transaction();
        socket_.close();
    }

    /// Returns whether the session waits for its client outside any transaction.
    [[nodiscard]] bool is_idle() const noexcept {
        return is_waiting_ && phase_ == callers::session_phase::idle && !socket_.has_pending_input();
    }
    [[nodiscard]] bool is_in_transaction() const noexcept { return transaction_.has_value(); }
    /// Returns since when the session waits for its client.
    [[nodiscard]] std::optional<base::clock::time_point> waiting_since() const noexcept {
        return is_waiting_ ? std::optional{waiting_since_} : std::nullopt;
    }
    [[nodiscard]] base::clock::duration transaction_idle_limit() const {
        return shared_.routes_.read([](const auto& routes) { return routes->transaction_idle_; });
    }

    /// Rolls an open transaction back; the client's next statement is answered with its end.
    [[nodiscard]] boost::asio::awaitable<void> abandon_transaction() {
        const auto self = this->shared_from_this();
        if (!is_waiting_ || !transaction_) {
            co_return;
        }
        phase_ = callers::session_phase::failed;
        is_abandoned_ = true;
        shared_.counters_.transactions_aborted_.fetch_add(1, std::memory_order_relaxed);
        base::log_event(events::transaction_given_up, {{"database", database_}});
        co_await end_transaction();
    }

    void close() noexcept { socket_.close(); }

private:
    using runner = backends::statement_runner<Protocol>;
    using reply_type = backends::statement_response;

    [[nodiscard]] boost::asio::awaitable<bool> start() {
        const auto line = co_await socket_.read_line(Protocol::max_line_bytes);
        if (!line) {
            co_return false;
        }
        const auto message = Protocol::decode_client(*line);
        const auto* opening = std::get_if<callers::session_start>(&message);
        if (opening == nullptr) {
            auto refusal = Protocol::encode_start_refused(backends::statement_status::malformed,
                                                          "a session starts with the database's name");
            co_await send(std::move(refusal));
            co_return false;
        }
        database_ = opening->database_;
        co_await wait_for_configuration();
        if (!has_configuration()) {
            auto refusal = Protocol::encode_start_refused(backends::statement_status::overloaded,
                                                          "no configuration yet");
            co_await send(std::move(refusal));
            co_return false;
        }
        if (!find_route()) {
            auto refusal = Protocol::encode_start_refused(backends::statement_status::no_database, database_);
            co_await send(std::move(refusal));
            co_return false;
        }
        auto greeting = Protocol::encode_session_started();
        co_return co_await send(std::move(greeting));
    }

    [[nodiscard]] bool has_configuration() const {
        return shared_.routes_.read([](const auto& routes) { return routes->version_ > 0; });
    }

    /// Until the first configuration is read nothing is known of any route, so none may be called missing.
    [[nodiscard]] boost::asio::awaitable<void> wait_for_configuration() {
        const auto end = base::clock::now() + configuration_wait;
        while (!has_configuration() && base::clock::now() < end) {
            co_await http::sleep_for(configuration_poll);
        }
    }

    [[nodiscard]] boost::asio::awaitable<bool> serve_line(const std::string& line) {
        auto message = Protocol::decode_client(line);
        if (std::holds_alternative<callers::session_end>(message)) {
            co_return false;
        }
        auto* statement = std::get_if<callers::statement>(&message);
        if (statement == nullptr) {
            auto reply = refuse(backends::statement_status::malformed, "not a statement");
            co_await send_reply(std::move(reply));
            co_return false;
        }
        const auto held = *statement;
        const auto started_at = base::clock::now();
        auto reply = co_await decide(held);
        const auto took = base::clock::now() - started_at;
        note_outcome(*held, reply, took);
        co_return co_await send_reply(std::move(reply));
    }

    [[nodiscard]] boost::asio::awaitable<reply_type> decide(callers::statement statement) {
        switch (callers::decide_step(phase_, statement->kind_)) {
        case callers::session_step::store_value:
            values_.set(statement->name_, statement->argument_);
            co_return accept();
        case callers::session_step::store_prepared:
            values_.prepare(statement->name_, {statement->effect_, statement->argument_});
            co_return accept();
        case callers::session_step::remove_prepared:
            co_return values_.deallocate(statement->name_)
                ? accept()
                : refuse(backends::statement_status::unknown_prepared, statement->name_);
        case callers::session_step::begin:
            co_return begin(*statement);
        case callers::session_step::end_unstarted:
            phase_ = callers::session_phase::idle;
            co_return accept();
        case callers::session_step::run_single:
            co_return co_await run_single(std::move(statement));
        case callers::session_step::run_in_transaction:
            co_return co_await run_in_transaction(std::move(statement));
        case callers::session_step::commit:
            co_return co_await commit(std::move(statement));
        case callers::session_step::rollback:
            co_await end_transaction();
            phase_ = callers::session_phase::idle;
            co_return accept();
        case callers::session_step::end_failed:
            co_return co_await end_failed(statement->kind_);
        case callers::session_step::refuse_malformed:
            break;
        }
        co_return refuse(backends::statement_status::malformed, "not expected now");
    }

    [[nodiscard]] reply_type begin(const callers::statement_fields& statement) {
        route_ = find_route();
        if (!route_) {
            return refuse(backends::statement_status::no_database, database_);
        }
        access_ = statement.kind_ == callers::statement_kind::begin_read_only
                      ? backends::transaction_access::read_only
                      : backends::transaction_access::read_write;
        phase_ = callers::session_phase::begun;
        return accept();
    }

    [[nodiscard]] boost::asio::awaitable<reply_type> run_single(callers::statement statement) {
        route_ = find_route();
        if (!route_) {
            co_return refuse(backends::statement_status::no_database, database_);
        }
        auto outgoing = to_outgoing(*statement);
        if (!outgoing) {
            co_return refuse(backends::statement_status::unknown_prepared, statement->name_);
        }
        const auto effect = outgoing->effect_;
        const auto route = *route_;
        auto work = run_single_at(directory_, route, need_for(*route, effect), std::move(*outgoing),
                                  values_.values());
        auto reply = co_await run_on_group_thread(route->service_, std::move(work));
        if (effect == backends::statement_effect::writes) {
            note_commit(reply);
        }
        co_return reply;
    }

    static boost::asio::awaitable<reply_type>
    run_single_at(Directory& directory, operators::session_route route, backends::statement_requirements need,
                  backends::outgoing_statement statement, const backends::session_settings& session) {
        auto group = directory.group_of(route->service_);
        co_return co_await runner::run_single(std::move(group), std::move(need), std::move(statement),
                                              session, route->max_attempts_);
    }

    [[nodiscard]] boost::asio::awaitable<reply_type> run_in_transaction(callers::statement statement) {
        auto outgoing = to_outgoing(*statement);
        if (!outgoing) {
            phase_ = callers::session_phase::failed;
            co_return refuse(backends::statement_status::unknown_prepared, statement->name_);
        }
        const auto route = *route_;
        auto work = run_inside_at(directory_, route, std::move(*outgoing));
        auto reply = co_await run_on_group_thread(route->service_, std::move(work));
        phase_ = reply.status_ == backends::statement_status::done ? callers::session_phase::open
                                                                   : callers::session_phase::failed;
        reply.state_ = state();
        co_return reply;
    }

    [[nodiscard]] boost::asio::awaitable<reply_type> run_inside_at(Directory& directory,
                                                                   operators::session_route route,
                                                                   backends::outgoing_statement statement) {
        const auto expires_at = base::clock::now() + route->timeout_;
        if (!transaction_) {
            auto need = need_for(*route, transaction_effect());
            auto group = directory.group_of(route->service_);
            co_return co_await runner::begin_with_statement(std::move(group), std::move(need), access_,
                                                            std::move(statement), values_.values(),
                                                            transaction_);
        }
        auto reply = co_await runner::run_in_open_transaction(*transaction_, std::move(statement), expires_at,
                                                              values_.values());
        if (!transaction_->grant_.connection_) {
            transaction_.reset();
        }
        co_return reply;
    }

    [[nodiscard]] boost::asio::awaitable<reply_type> commit(callers::statement statement) {
        const auto route = *route_;
        auto work = commit_at(directory_, route, std::move(statement));
        auto reply = co_await run_on_group_thread(route->service_, std::move(work));
        phase_ = callers::session_phase::idle;
        reply.state_ = state();
        if (has_written_) {
            note_commit(reply);
        }
        co_return reply;
    }

    [[nodiscard]] boost::asio::awaitable<reply_type>
    commit_at(Directory& directory, operators::session_route route, callers::statement statement) {
        backends::outgoing_statement outgoing;
        outgoing.id_ = statement->id_;
        outgoing.text_ = statement->text_;
        has_written_ = transaction_ && transaction_->has_written_;
        if (!transaction_) {
            // An empty transaction is committed at a database too: a success carries its signature.
            auto need = need_for(*route, transaction_effect());
            auto group = directory.group_of(route->service_);
            co_return co_await runner::commit_empty(std::move(group), std::move(need), access_,
                                                    std::move(outgoing), values_.values());
        }
        auto ending = std::move(*transaction_);
        transaction_.reset();
        const auto expires_at = base::clock::now() + route->timeout_;
        co_return co_await runner::commit(std::move(ending), std::move(outgoing), expires_at);
    }

    [[nodiscard]] boost::asio::awaitable<reply_type> end_failed(callers::statement_kind kind) {
        co_await end_transaction();
        phase_ = callers::session_phase::idle;
        is_abandoned_ = false;
        if (kind == callers::statement_kind::rollback) {
            co_return accept();
        }
        co_return refuse(backends::statement_status::aborted, "the transaction was rolled back");
    }

    /// Rolls back what is open at a database, on the thread that owns it.
    [[nodiscard]] boost::asio::awaitable<void> end_transaction() {
        if (!transaction_) {
            co_return;
        }
        auto ending = std::move(*transaction_);
        transaction_.reset();
        const auto service = (*route_)->service_;
        if (directory_.is_owned_here(service)) {
            co_await runner::roll_back(std::move(ending));
            co_return;
        }
        auto work = runner::roll_back(std::move(ending));
        co_await boost::asio::co_spawn(directory_.executor_of(service), std::move(work),
                                       boost::asio::use_awaitable);
    }

    [[nodiscard]] boost::asio::awaitable<reply_type>
    run_on_group_thread(std::string service, boost::asio::awaitable<reply_type> work) {
        if (directory_.is_owned_here(service)) {
            co_return co_await std::move(work);
        }
        co_return co_await boost::asio::co_spawn(directory_.executor_of(service), std::move(work),
                                                 boost::asio::use_awaitable);
    }

    [[nodiscard]] std::optional<operators::session_route> find_route() const {
        return shared_.routes_.read([this](const auto& routes) {
            const auto found = routes->routes_.find(database_);
            return found == routes->routes_.end() ? std::nullopt : std::optional{found->second};
        });
    }

    [[nodiscard]] std::optional<backends::outgoing_statement>
    to_outgoing(const callers::statement_fields& statement) const {
        backends::outgoing_statement outgoing;
        outgoing.id_ = statement.id_;
        outgoing.text_ = statement.text_;
        outgoing.effect_ = statement.kind_ == callers::statement_kind::write
                               ? backends::statement_effect::writes
                               : backends::statement_effect::reads;
        if (statement.kind_ == callers::statement_kind::execute) {
            outgoing.prepared_ = values_.find_prepared(statement.name_);
            if (!outgoing.prepared_) {
                return std::nullopt;
            }
            outgoing.text_ = Protocol::execute_text(*outgoing.prepared_, statement.argument_);
            outgoing.effect_ = outgoing.prepared_->effect_ == base::prepared_effect::writes
                                   ? backends::statement_effect::writes
                                   : backends::statement_effect::reads;
        }
        return outgoing;
    }

    [[nodiscard]] backends::statement_requirements need_for(const operators::session_route_fields& route,
                                                            backends::statement_effect effect) const {
        backends::statement_requirements need;
        const bool may_read_replica = effect == backends::statement_effect::reads &&
                                      route.consistency_ != operators::consistency::primary;
        need.placement_ =
            may_read_replica ? backends::placement::any_fresh : backends::placement::primary_only;
        need.staleness_ = route.staleness_;
        if (route.consistency_ == operators::consistency::read_your_writes) {
            need.own_commit_ = own_commit_;
        }
        need.priority_ = route.priority_;
        need.objective_ = route.objective_;
        need.deadline_ = base::clock::now() + route.timeout_;
        return need;
    }

    [[nodiscard]] backends::statement_effect transaction_effect() const noexcept {
        return access_ == backends::transaction_access::read_only ? backends::statement_effect::reads
                                                                  : backends::statement_effect::writes;
    }

    /// Remembers the position of a commit, which later reads of the session have to see.
    void note_commit(const reply_type& reply) {
        if (reply.status_ == backends::statement_status::done && reply.position_) {
            own_commit_ = reply.position_;
        }
    }

    [[nodiscard]] backends::transaction_state state() const noexcept {
        switch (phase_) {
        case callers::session_phase::begun:
        case callers::session_phase::open:
            return backends::transaction_state::open;
        case callers::session_phase::failed:
            return backends::transaction_state::failed;
        case callers::session_phase::idle:
            break;
        }
        return backends::transaction_state::none;
    }

    [[nodiscard]] reply_type accept() const {
        return backends::make_response(backends::statement_status::done, {}, state());
    }
    /// A statement after which a begun transaction was given up learns that the transaction is gone.
    [[nodiscard]] reply_type refuse(backends::statement_status status, std::string detail) const {
        const bool is_gone = is_abandoned_ && status == backends::statement_status::malformed;
        return backends::make_response(is_gone ? backends::statement_status::aborted : status,
                                       std::move(detail), state());
    }

    [[nodiscard]] boost::asio::awaitable<bool> send_reply(reply_type reply) {
        auto lines = Protocol::encode_statement_response(reply);
        return send(std::move(lines));
    }

    [[nodiscard]] boost::asio::awaitable<bool> send(std::string lines) {
        return socket_.write(std::move(lines));
    }

    /// Counts a statement and writes its line of the log.
    void note_outcome(const callers::statement_fields& statement, const reply_type& reply,
                      base::clock::duration took) {
        const bool is_local =
            reply.trace_.attempts_ == 0 && reply.status_ == backends::statement_status::done;
        count(reply.status_);
        if (is_local) {
            return;
        }
        recorder_.record(route_ ? (*route_)->service_ : std::string{}, priority_name(), reply.status_, took);
        const bool is_done = reply.status_ == backends::statement_status::done;
        if (!recorder_.may_log(reply.status_)) {
            return;
        }
        const auto& trace = reply.trace_;
        std::string needed{"-"};
        if (trace.required_position_) {
            needed = std::to_string(trace.required_position_->term()) + "." +
                     std::to_string(trace.required_position_->index());
        }
        const auto version = shared_.routes_.read([](const auto& routes) { return routes->version_; });
        const auto lease_left = shared_.published_lease_.expiry() - base::clock::now();
        base::log_event(is_done ? events::statement_done : events::statement_not_done,
                        {{"id", statement.id_},
                         {"database", database_},
                         {"service", route_ ? (*route_)->service_ : "-"},
                         {"status", std::string{backends::name_of(reply.status_)}},
                         {"at", trace.database_.empty() ? "-" : trace.database_},
                         {"needed", needed},
                         {"attempts", std::to_string(trace.attempts_)},
                         {"waited_ms", std::to_string(trace.waited_.count())},
                         {"took_ms", std::to_string(took.count())},
                         {"configuration", std::to_string(version)},
                         {"evidence_left_ms", std::to_string(lease_left.count())},
                         {"detail", is_done ? std::string{"-"} : reply.detail_}});
    }

    [[nodiscard]] std::string priority_name() const {
        return route_ ? "priority_" + std::to_string((*route_)->priority_) : std::string{"none"};
    }

    void count(backends::statement_status status) {
        auto& counters = shared_.counters_;
        switch (status) {
        case backends::statement_status::done:
            counters.statements_done_.fetch_add(1, std::memory_order_relaxed);
            return;
        case backends::statement_status::unknown:
        case backends::statement_status::timed_out:
            counters.statements_unknown_.fetch_add(1, std::memory_order_relaxed);
            return;
        case backends::statement_status::overloaded:
            counters.statements_refused_.fetch_add(1, std::memory_order_relaxed);
            return;
        default:
            counters.statements_failed_.fetch_add(1, std::memory_order_relaxed);
        }
    }

    // Clients give a session up that has not started after two seconds.
    static constexpr base::clock::duration configuration_wait{1'700};
    static constexpr base::clock::duration configuration_poll{20};
    // A client that is gone without a word is noticed by the next answer to it.
    static constexpr base::clock::duration client_silence{10'000};

    http::line_socket socket_;
    Directory& directory_;
    session_shared_state& shared_;
    statement_recorder& recorder_;
    std::string database_;
    callers::session_values values_;
    callers::session_phase phase_ = callers::session_phase::idle;
    backends::transaction_access access_ = backends::transaction_access::read_write;
    /// The route of the present transaction or statement; a changed one applies from the next on.
    std::optional<operators::session_route> route_;
    std::optional<backends::open_transaction<Protocol>> transaction_;
    std::optional<base::log_position> own_commit_;
    base::clock::time_point waiting_since_{};
    bool is_waiting_ = false;
    bool is_abandoned_ = false;
    bool has_written_ = false;
};

} // namespace proxy
