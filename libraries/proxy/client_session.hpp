#pragma once

#include <backends/statement_runner.hpp>
#include <base/clock.hpp>
#include <base/event.hpp>
#include <base/memory_budget.hpp>
#include <callers/client_limits.hpp>
#include <callers/session_message.hpp>
#include <callers/session_progress.hpp>
#include <callers/session_values.hpp>
#include <http/line_socket.hpp>
#include <http/sleep.hpp>
#include <operators/session_routes.hpp>
#include <proxy/events.hpp>
#include <proxy/operation_token.hpp>
#include <proxy/session_shared_state.hpp>
#include <proxy/statement_outcome.hpp>
#include <proxy/statement_recorder.hpp>
#include <proxy/tenant_admission.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>

namespace proxy {

/// Maps a service to its group of databases and to the executor of the request thread that owns the group.
template <typename Directory, typename Protocol>
concept group_directory = requires(Directory& directory, const std::string& service) {
    { directory.group_of(service) } -> std::same_as<std::shared_ptr<backends::service_group<Protocol>>>;
    directory.executor_of(service);
    { directory.is_owned_here(service) } -> std::same_as<bool>;
};

/// One client connection with its session variables, prepared statements and transaction.
///
/// Each statement gets exactly one response. Statements that need no database are answered on this thread;
/// the others run on the thread that owns the service. Thread safety: used by the thread of its socket only.
/// Lifetime: kept alive by the coroutine that runs `serve`.
template <backends::database_protocol Protocol, typename Directory>
requires group_directory<Directory, Protocol>
class client_session : public std::enable_shared_from_this<client_session<Protocol, Directory>> {
public:
    client_session(boost::asio::ip::tcp::socket socket, Directory& directory, session_shared_state& shared,
                   statement_recorder& recorder)
        : socket_{std::move(socket)}, directory_{directory}, shared_{shared}, recorder_{recorder} {
        socket_.set_unacknowledged_timeout(unacknowledged_data_timeout);
        socket_.limit_input(&shared.memory_, base::memory_part::input);
    }

    /// Takes what an open connection needs of the memory. Returns false if it is used up.
    [[nodiscard]] bool take_connection_memory() noexcept {
        return connection_hold_.try_resize(connection_bytes);
    }

    /// Serves the session until the client or the daemon closes it.
    [[nodiscard]] boost::asio::awaitable<void> serve() {
        if (co_await start()) {
            bool is_continuing = true;
            while (is_continuing) {
                is_waiting_ = true;
                waiting_since_ = base::clock::now();
                auto line = co_await socket_.read_line(Protocol::max_line_bytes);
                is_waiting_ = false;
                if (!line) {
                    break;
                }
                is_continuing = co_await handle_line(std::move(*line));
                is_continuing = is_continuing && !must_close_after_response();
            }
        }
        co_await end_transaction();
        socket_.close();
    }

    /// Returns whether the session waits for its client outside a transaction and has no unread input.
    [[nodiscard]] bool is_idle() const noexcept {
        return is_waiting_ && phase_ == callers::session_phase::idle && !socket_.has_pending_input();
    }
    [[nodiscard]] bool is_in_transaction() const noexcept { return transaction_.has_value(); }
    /// Returns since when the session has been waiting for its client, or nothing while it serves a
    /// statement.
    [[nodiscard]] std::optional<base::clock::time_point> waiting_since() const noexcept {
        return is_waiting_ ? std::optional{waiting_since_} : std::nullopt;
    }
    [[nodiscard]] base::clock::duration transaction_idle_timeout() const {
        return shared_.routes_.read([](const auto& routes) { return routes->transaction_idle_; });
    }

    /// Rolls back an open transaction. Its further statements are refused as `aborted` until the client ends
    /// it.
    [[nodiscard]] boost::asio::awaitable<void> abandon_transaction(const char* reason) {
        const auto self = this->shared_from_this();
        if (!is_waiting_ || !transaction_) {
            co_return;
        }
        co_await fail_transaction(reason);
    }

    /// Returns whether the configuration in force no longer admits the key of this session. Such a session
    /// runs nothing more.
    [[nodiscard]] bool is_key_withdrawn() const {
        const auto route = find_route();
        return route && !find_tenant(**route);
    }
    /// Returns whether the open transaction runs for a tenant that no longer holds the session's key.
    [[nodiscard]] bool has_tenant_changed() const { return route_ && find_tenant(**route_) != tenant_; }

    /// Why a transaction is given up, for the log.
    static constexpr const char* key_changed = "key";
    static constexpr const char* idle_too_long = "idle";
    static constexpr const char* daemon_stops = "stopping";

    void close() noexcept { socket_.close(); }
    /// Closes an idle session whose key was withdrawn.
    void close_withdrawn() {
        note_withdrawn();
        close();
    }

    /// Returns the version of the configuration whose keys the session was last checked against while it
    /// waited for its client.
    [[nodiscard]] std::uint64_t checked_version() const noexcept { return checked_version_; }
    void set_checked_version(std::uint64_t version) noexcept { checked_version_ = version; }

    /// Returns whether the session has ended because its client sent a line that is too long.
    [[nodiscard]] bool has_sent_too_much() const noexcept { return socket_.is_line_too_long(); }
    [[nodiscard]] bool is_open() const noexcept { return socket_.is_open(); }
    /// Returns the client's address, or `-` if the connection has ended.
    [[nodiscard]] std::string peer() const { return socket_.peer(); }
    [[nodiscard]] const std::string& database() const noexcept { return database_; }

    /// Returns why the session must be closed at `now` because its client has not done what it owes, or
    /// nothing.
    [[nodiscard]] std::optional<callers::closing_reason>
    overdue_reason(base::clock::time_point now, const callers::client_timeouts& timeouts) const noexcept {
        if (const auto since = socket_.unread_since()) {
            return callers::overdue(callers::client_debt::reading, now - *since, timeouts);
        }
        if (is_waiting_for_start_) {
            return callers::overdue(callers::client_debt::start, now - accepted_at_, timeouts);
        }
        const auto since = socket_.partial_line_since();
        return is_waiting_ && since
                   ? callers::overdue(callers::client_debt::rest_of_line, now - *since, timeouts)
                   : std::nullopt;
    }

    /// Describes what the session holds of a part of the memory and what it gives in return.
    [[nodiscard]] callers::memory_holder describe_memory(base::memory_part part,
                                                         base::clock::time_point now) const noexcept {
        const auto productive_at = std::max(socket_.unread_since().value_or(accepted_at_), completed_at_);
        return {held_bytes(part), now - std::max(accepted_at_, productive_at)};
    }

    /// Describes what the session gives in return for its connection.
    [[nodiscard]] callers::connection_holder describe_connection(base::clock::time_point now) const noexcept {
        const auto since = is_waiting_for_start_ ? accepted_at_ : waiting_since_;
        return {has_started_, has_completed_statement_, is_waiting_ || is_waiting_for_start_,
                phase_ != callers::session_phase::idle, now - since};
    }

    [[nodiscard]] std::uint64_t held_bytes(base::memory_part part) const noexcept {
        switch (part) {
        case base::memory_part::connections:
            return connection_hold_.bytes();
        case base::memory_part::input:
            return socket_.held_input_bytes();
        case base::memory_part::values:
            return values_hold_.bytes();
        case base::memory_part::responses:
            return response_hold_ ? response_hold_->bytes() : 0;
        case base::memory_part::queued:
            return queued_hold_.bytes();
        }
        return 0;
    }

private:
    /// Returns whether the daemon is stopping, or the session's key was withdrawn, and the session can be
    /// closed without losing a statement. The client has just received a response, so its next statement is
    /// least likely to be under way.
    [[nodiscard]] bool must_close_after_response() {
        if (phase_ != callers::session_phase::idle) {
            return false;
        }
        const bool has_input = socket_.has_pending_input();
        // A statement that has arrived is refused before the session is closed.
        if (is_refused_as_withdrawn_ || (!has_input && is_key_withdrawn())) {
            note_withdrawn();
            return true;
        }
        return !has_input && shared_.stop_progress_.step() >= drain_step::closing_sessions;
    }

    /// Counts and logs that the session ends because its key was withdrawn.
    void note_withdrawn() {
        shared_.counters_.sessions_revoked_.fetch_add(1, std::memory_order_relaxed);
        if (recorder_.may_log(backends::statement_status::unauthorised)) {
            base::log_event(events::session_revoked,
                            {{"database", database_},
                             {"tenant", tenant_.value_or("-")},
                             {"configuration", std::to_string(configuration_version())},
                             {"behind_ms", std::to_string(time_behind().count())}});
        }
    }

    /// Rolls the transaction back. Its further statements are refused as `aborted`.
    [[nodiscard]] boost::asio::awaitable<void> fail_transaction(const char* reason) {
        phase_ = callers::session_phase::failed;
        is_transaction_abandoned_ = true;
        shared_.counters_.transactions_aborted_.fetch_add(1, std::memory_order_relaxed);
        base::log_event(events::transaction_given_up, {{"database", database_}, {"reason", reason}});
        co_await end_transaction();
    }

    using runner = backends::statement_runner<Protocol>;
    using response_type = backends::statement_response;

    [[nodiscard]] boost::asio::awaitable<bool> start() {
        const auto line = co_await socket_.read_line(Protocol::max_line_bytes);
        is_waiting_for_start_ = false;
        if (!line) {
            co_return false;
        }
        const auto message = Protocol::decode_client(*line);
        const auto* start_message = std::get_if<callers::session_start>(&message);
        if (start_message == nullptr) {
            auto refusal = Protocol::encode_start_refused(backends::statement_status::malformed,
                                                          "a session starts with the database's name");
            co_await send(std::move(refusal));
            co_return false;
        }
        if (shared_.stop_progress_.step() == drain_step::refusing) {
            auto refusal = Protocol::encode_start_refused(backends::statement_status::overloaded, stopping);
            co_await send(std::move(refusal));
            co_return false;
        }
        database_ = start_message->database_;
        key_ = operators::key_digest::of(start_message->api_key_);
        co_await wait_for_configuration();
        if (!has_configuration()) {
            auto refusal = Protocol::encode_start_refused(backends::statement_status::overloaded,
                                                          "no configuration yet");
            co_await send(std::move(refusal));
            co_return false;
        }
        co_await wait_for_newer_configuration();
        const auto route = find_route();
        tenant_ = route ? find_tenant(**route) : std::nullopt;
        if (!tenant_) {
            auto refusal = refuse_start(route.has_value());
            co_await send(std::move(refusal));
            co_return false;
        }
        has_started_ = true;
        auto greeting = Protocol::encode_session_started();
        co_return co_await send(std::move(greeting));
    }

    /// Returns whether the configuration in force admits the session.
    [[nodiscard]] bool is_admitted() const {
        const auto route = find_route();
        return route && find_tenant(**route);
    }

    /// Encodes the refusal of a session that the configuration in force does not admit. While a newer one is
    /// known, the client may come back, because that one may admit it.
    [[nodiscard]] std::string refuse_start(bool has_route) {
        if (shared_.configuration_lag_.is_behind()) {
            return Protocol::encode_start_refused(backends::statement_status::overloaded, is_behind);
        }
        if (!has_route) {
            return Protocol::encode_start_refused(backends::statement_status::no_database, database_);
        }
        note_unauthorised();
        return Protocol::encode_start_refused(backends::statement_status::unauthorised, unknown_key);
    }

    void note_unauthorised() {
        shared_.counters_.sessions_unauthorised_.fetch_add(1, std::memory_order_relaxed);
        if (recorder_.may_log(backends::statement_status::unauthorised)) {
            base::log_event(events::session_unauthorised,
                            {{"database", database_},
                             {"configuration", std::to_string(configuration_version())},
                             {"behind_ms", std::to_string(time_behind().count())}});
        }
    }

    [[nodiscard]] std::uint64_t configuration_version() const {
        return shared_.routes_.read([](const auto& routes) { return routes->version_; });
    }
    /// Returns for how long a newer configuration than the one in force has been known.
    [[nodiscard]] base::clock::duration time_behind() const {
        return shared_.configuration_lag_.duration_at(base::clock::now());
    }
    [[nodiscard]] bool has_configuration() const { return configuration_version() > 0; }

    /// Waits for the first configuration: before it is read, no route is known, so a database must not be
    /// reported as missing.
    [[nodiscard]] boost::asio::awaitable<void> wait_for_configuration() {
        const auto end = base::clock::now() + configuration_timeout;
        while (!has_configuration() && base::clock::now() < end) {
            co_await http::sleep_for(configuration_poll_interval);
        }
    }

    /// Waits while the session is not admitted and a newer configuration is known, which may admit it. Mostly
    /// it arrives at once; otherwise the client is served sooner by another daemon.
    [[nodiscard]] boost::asio::awaitable<void> wait_for_newer_configuration() {
        const auto end = base::clock::now() + newer_configuration_timeout;
        while (shared_.configuration_lag_.is_behind() && !is_admitted() && base::clock::now() < end) {
            co_await http::sleep_for(configuration_poll_interval);
        }
    }

    /// Refuses a statement because no route has the session's database name. While a newer configuration is
    /// known, which may have it, the statement may be retried.
    [[nodiscard]] response_type refuse_missing_database() const {
        return shared_.configuration_lag_.is_behind()
                   ? refuse(backends::statement_status::overloaded, is_behind)
                   : refuse(backends::statement_status::no_database, database_);
    }

    [[nodiscard]] boost::asio::awaitable<bool> handle_line(std::string line) {
        const bool may_run = co_await take_statement_memory(line.size());
        auto message = Protocol::decode_client(line);
        line = {};
        if (std::holds_alternative<callers::session_end>(message)) {
            co_return false;
        }
        auto* statement = std::get_if<callers::statement>(&message);
        if (statement == nullptr) {
            shared_.counters_.statements_malformed_.fetch_add(1, std::memory_order_relaxed);
            auto response = refuse(backends::statement_status::malformed, "not a statement");
            co_await send_response(std::move(response));
            co_return false;
        }
        // What is logged and counted; a long text is not copied.
        callers::statement_fields described;
        described.id_ = (*statement)->id_;
        described.kind_ = (*statement)->kind_;
        described.name_ = (*statement)->name_.substr(0, max_logged_name);
        const auto started_at = base::clock::now();
        response_type response;
        if (may_run) {
            response = co_await run_statement(std::move(*statement));
        } else {
            response = refuse_change();
        }
        queued_hold_.release();
        const auto now = base::clock::now();
        completed_at_ = now;
        has_completed_statement_ =
            has_completed_statement_ || response.status_ == backends::statement_status::done;
        record_outcome(described, response, now - started_at);
        co_return co_await send_response(std::move(response));
    }

    /// Takes memory for the copies of a statement that is longer than an ordinary line, and waits for a while
    /// if there is none. Returns false if the statement must be refused.
    [[nodiscard]] boost::asio::awaitable<bool> take_statement_memory(std::size_t size) {
        if (size <= http::line_socket::free_input_bytes) {
            co_return true;
        }
        // A statement that needs more than the whole part runs alone.
        const auto needed = std::min<std::uint64_t>(size * copies_of_statement,
                                                    shared_.memory_.share(base::memory_part::queued));
        co_return co_await wait_for_memory(queued_hold_, needed);
    }

    [[nodiscard]] boost::asio::awaitable<bool> wait_for_memory(base::memory_hold& hold, std::uint64_t bytes) {
        const auto end = base::clock::now() + memory_wait_timeout;
        while (!hold.try_resize(bytes)) {
            if (!socket_.is_open() || base::clock::now() >= end) {
                co_return false;
            }
            co_await http::sleep_for(memory_retry_interval);
        }
        co_return true;
    }

    /// Takes memory for a further value or prepared statement and stores it with `store`.
    template <typename Store>
    [[nodiscard]] boost::asio::awaitable<response_type> store_change(std::size_t growth, Store store) {
        const bool has_memory = co_await wait_for_memory(values_hold_, values_.bytes() + growth);
        const bool is_stored = has_memory && store();
        values_hold_.resize(values_.bytes());
        co_return is_stored ? accept() : refuse_change();
    }

    [[nodiscard]] boost::asio::awaitable<response_type> run_statement(callers::statement statement) {
        if (phase_ == callers::session_phase::idle) {
            if (is_key_withdrawn()) {
                co_return refuse_withdrawn();
            }
        } else if (phase_ != callers::session_phase::failed && has_tenant_changed()) {
            co_await fail_transaction(key_changed);
        }
        const auto step = callers::decide_step(phase_, statement->kind_);
        if (!transaction_ && is_refused_while_stopping(shared_.stop_progress_.step(), step)) {
            co_return refuse_while_stopping(step);
        }
        switch (step) {
        case callers::session_step::store_value:
            co_return co_await store_change(
                callers::session_values::growth(statement->name_, statement->argument_),
                [this, &statement] { return values_.set(statement->name_, statement->argument_); });
        case callers::session_step::store_prepared:
            co_return co_await store_change(
                callers::session_values::growth(statement->name_, statement->argument_), [this, &statement] {
                    return values_.prepare(statement->name_, {statement->effect_, statement->argument_});
                });
        case callers::session_step::remove_prepared:
            if (!values_.deallocate(statement->name_)) {
                co_return refuse(backends::statement_status::unknown_prepared, statement->name_);
            }
            values_hold_.resize(values_.bytes());
            co_return accept();
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

    /// Refuses a statement because the session's key was withdrawn. The session is closed afterwards.
    [[nodiscard]] response_type refuse_withdrawn() {
        is_refused_as_withdrawn_ = true;
        return refuse(backends::statement_status::unauthorised, unknown_key);
    }

    /// Refuses a value or prepared statement that the session has no room for. The refusal promises that
    /// nothing of the operation is kept, so it fails a transaction.
    [[nodiscard]] response_type refuse_change() {
        if (phase_ != callers::session_phase::idle) {
            phase_ = callers::session_phase::failed;
        }
        return refuse(backends::statement_status::overloaded, session_full);
    }

    /// Refuses a statement because the daemon is stopping. A transaction that has not been assigned to a
    /// database has not run, so it counts as rolled back.
    [[nodiscard]] response_type refuse_while_stopping(callers::session_step step) {
        if (step == callers::session_step::run_in_transaction) {
            phase_ = callers::session_phase::failed;
            is_transaction_abandoned_ = true;
            return refuse(backends::statement_status::aborted, stopping);
        }
        if (step == callers::session_step::commit) {
            phase_ = callers::session_phase::idle;
            return refuse(backends::statement_status::aborted, stopping);
        }
        return refuse(backends::statement_status::overloaded, stopping);
    }

    [[nodiscard]] response_type begin(const callers::statement_fields& statement) {
        route_ = find_route();
        if (!route_) {
            return refuse_missing_database();
        }
        tenant_ = find_tenant(**route_);
        if (!tenant_) {
            return refuse_withdrawn();
        }
        access_ = statement.kind_ == callers::statement_kind::begin_read_only
                      ? backends::transaction_access::read_only
                      : backends::transaction_access::read_write;
        phase_ = callers::session_phase::begun;
        return accept();
    }

    [[nodiscard]] boost::asio::awaitable<response_type> run_single(callers::statement statement) {
        route_ = find_route();
        if (!route_) {
            co_return refuse_missing_database();
        }
        tenant_ = find_tenant(**route_);
        if (!tenant_) {
            co_return refuse_withdrawn();
        }
        auto outgoing = make_outgoing_statement(*statement);
        if (!outgoing) {
            co_return refuse(backends::statement_status::unknown_prepared, statement->name_);
        }
        if (!co_await take_token()) {
            co_return refuse_for_limit();
        }
        const auto effect = outgoing->effect_;
        const auto route = *route_;
        auto work = run_single_in_group(directory_, route, make_requirements(*route, effect),
                                        std::move(*outgoing), values_.values(), make_admission());
        auto response = co_await run_on_owner_thread(route->service_, std::move(work));
        token_.settle(response.status_);
        if (effect == backends::statement_effect::writes) {
            record_commit(response);
        }
        co_return response;
    }

    static boost::asio::awaitable<response_type>
    run_single_in_group(Directory& directory, operators::session_route route,
                        backends::statement_requirements requirements, backends::outgoing_statement statement,
                        const backends::session_settings& session, tenant_admission admission) {
        auto group = directory.group_of(route->service_);
        co_return co_await runner::run_single(std::move(group), std::move(requirements), std::move(statement),
                                              session, route->max_attempts_, std::move(admission));
    }

    [[nodiscard]] boost::asio::awaitable<response_type> run_in_transaction(callers::statement statement) {
        auto outgoing = make_outgoing_statement(*statement);
        if (!outgoing) {
            phase_ = callers::session_phase::failed;
            co_return refuse(backends::statement_status::unknown_prepared, statement->name_);
        }
        const bool is_first = !transaction_;
        if (is_first && !co_await take_token()) {
            phase_ = callers::session_phase::failed;
            co_return refuse_for_limit();
        }
        const auto route = *route_;
        auto work = run_transaction_statement(directory_, route, std::move(*outgoing));
        auto response = co_await run_on_owner_thread(route->service_, std::move(work));
        if (is_first) {
            token_.settle(response.status_);
        }
        phase_ = response.status_ == backends::statement_status::done ? callers::session_phase::open
                                                                      : callers::session_phase::failed;
        response.state_ = current_state();
        co_return response;
    }

    [[nodiscard]] boost::asio::awaitable<response_type>
    run_transaction_statement(Directory& directory, operators::session_route route,
                              backends::outgoing_statement statement) {
        const auto deadline = deadline_of(*route);
        if (!transaction_) {
            auto requirements = make_requirements(*route, transaction_effect());
            auto group = directory.group_of(route->service_);
            auto admission = make_admission();
            co_return co_await runner::begin_with_statement(std::move(group), std::move(requirements),
                                                            access_, std::move(statement), values_.values(),
                                                            transaction_, std::move(admission));
        }
        auto response = co_await runner::run_in_open_transaction(*transaction_, std::move(statement),
                                                                 deadline, values_.values());
        if (!transaction_->grant_.connection_) {
            transaction_.reset();
        }
        co_return response;
    }

    [[nodiscard]] boost::asio::awaitable<response_type> commit(callers::statement statement) {
        const bool is_empty = !transaction_;
        if (is_empty && !co_await take_token()) {
            phase_ = callers::session_phase::idle;
            co_return refuse_for_limit();
        }
        const auto route = *route_;
        auto work = commit_in_group(directory_, route, std::move(statement));
        auto response = co_await run_on_owner_thread(route->service_, std::move(work));
        if (is_empty) {
            token_.settle(response.status_);
        }
        phase_ = callers::session_phase::idle;
        response.state_ = current_state();
        if (has_written_) {
            record_commit(response);
        }
        co_return response;
    }

    [[nodiscard]] boost::asio::awaitable<response_type>
    commit_in_group(Directory& directory, operators::session_route route, callers::statement statement) {
        backends::outgoing_statement outgoing;
        outgoing.id_ = statement->id_;
        outgoing.text_ = statement->text_;
        has_written_ = transaction_ && transaction_->has_written_;
        if (!transaction_) {
            // An empty transaction is committed on a database too, because a successful response carries the
            // database's signature.
            auto requirements = make_requirements(*route, transaction_effect());
            auto group = directory.group_of(route->service_);
            auto admission = make_admission();
            co_return co_await runner::commit_empty(std::move(group), std::move(requirements), access_,
                                                    std::move(outgoing), values_.values(),
                                                    std::move(admission));
        }
        auto ended_transaction = std::move(*transaction_);
        transaction_.reset();
        const auto deadline = deadline_of(*route);
        co_return co_await runner::commit(std::move(ended_transaction), std::move(outgoing), deadline,
                                          values_.values());
    }

    [[nodiscard]] boost::asio::awaitable<response_type> end_failed(callers::statement_kind kind) {
        co_await end_transaction();
        phase_ = callers::session_phase::idle;
        is_transaction_abandoned_ = false;
        if (kind == callers::statement_kind::rollback) {
            co_return accept();
        }
        co_return refuse(backends::statement_status::aborted, "the transaction was rolled back");
    }

    /// Rolls back the open transaction, if there is one, on the thread that owns the service.
    [[nodiscard]] boost::asio::awaitable<void> end_transaction() {
        if (!transaction_) {
            co_return;
        }
        auto ended_transaction = std::move(*transaction_);
        transaction_.reset();
        const auto service = (*route_)->service_;
        if (directory_.is_owned_here(service)) {
            co_await runner::roll_back(std::move(ended_transaction));
            co_return;
        }
        auto work = runner::roll_back(std::move(ended_transaction));
        co_await boost::asio::co_spawn(directory_.executor_of(service), std::move(work),
                                       boost::asio::use_awaitable);
    }

    [[nodiscard]] boost::asio::awaitable<response_type>
    run_on_owner_thread(std::string service, boost::asio::awaitable<response_type> work) {
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

    /// Returns the tenant that holds the session's key, or nothing if the key is not admitted on the route.
    [[nodiscard]] std::optional<std::string> find_tenant(const operators::session_route_fields& route) const {
        return shared_.routes_.read(
            [this, &route](const auto& routes) { return routes->tenant_for(route, key_); });
    }

    /// Returns the weight of the current tenant; 1 without tenants.
    [[nodiscard]] double tenant_weight() const {
        return shared_.routes_.read([this](const auto& routes) {
            const auto found = routes->tenants_.find(tenant_.value_or(std::string{}));
            return found == routes->tenants_.end() ? 1.0 : found->second.weight();
        });
    }

    /// Precondition: the route and the tenant of the statement or transaction are set.
    [[nodiscard]] tenant_admission make_admission() const {
        return {shared_.routes_, *route_, key_, tenant_.value_or(std::string{})};
    }

    [[nodiscard]] std::optional<backends::outgoing_statement>
    make_outgoing_statement(const callers::statement_fields& statement) const {
        backends::outgoing_statement outgoing;
        outgoing.id_ = statement.id_;
        if (statement.kind_ != callers::statement_kind::execute) {
            outgoing.text_ = statement.text_;
            outgoing.effect_ = statement.kind_ == callers::statement_kind::write
                                   ? backends::statement_effect::writes
                                   : backends::statement_effect::reads;
            return outgoing;
        }
        outgoing.prepared_ = values_.find_prepared(statement.name_);
        if (!outgoing.prepared_) {
            return std::nullopt;
        }
        outgoing.argument_ = statement.argument_;
        outgoing.effect_ = outgoing.prepared_->effect_ == base::prepared_effect::writes
                               ? backends::statement_effect::writes
                               : backends::statement_effect::reads;
        return outgoing;
    }

    [[nodiscard]] backends::statement_requirements
    make_requirements(const operators::session_route_fields& route, backends::statement_effect effect) const {
        backends::statement_requirements requirements;
        const bool may_read_replica = effect == backends::statement_effect::reads &&
                                      route.consistency_ != operators::consistency::primary;
        requirements.placement_ =
            may_read_replica ? backends::placement::any_fresh : backends::placement::primary_only;
        requirements.staleness_ = route.staleness_;
        if (route.consistency_ == operators::consistency::read_your_writes) {
            requirements.own_commit_ = own_commit_;
        }
        requirements.tenant_ = tenant_.value_or(std::string{});
        requirements.tenant_weight_ = tenant_weight();
        requirements.priority_ = route.priority_;
        requirements.objective_ = route.objective_;
        requirements.deadline_ = deadline_of(route);
        return requirements;
    }

    /// Returns when a statement that starts now has to end. While the daemon is stopping, its response must
    /// be sent before the process exits.
    [[nodiscard]] base::clock::time_point
    deadline_of(const operators::session_route_fields& route) const noexcept {
        return std::min(base::clock::now() + route.timeout_, shared_.stop_progress_.statements_end());
    }

    [[nodiscard]] backends::statement_effect transaction_effect() const noexcept {
        return access_ == backends::transaction_access::read_only ? backends::statement_effect::reads
                                                                  : backends::statement_effect::writes;
    }

    /// Records the log position of a commit, which later reads of the session must observe.
    void record_commit(const response_type& response) {
        if (response.status_ == backends::statement_status::done && response.position_) {
            own_commit_ = response.position_;
        }
    }

    [[nodiscard]] backends::transaction_state current_state() const noexcept {
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

    /// Takes a token for an operation of the current tenant, of which no statement has been given to a
    /// database. Returns false if there is none.
    [[nodiscard]] boost::asio::awaitable<bool> take_token() {
        if (!tenant_ || tenant_->empty()) {
            co_return true;
        }
        auto quota = shared_.quotas_.read([this](const auto& table) { return table.find(*tenant_); });
        if (!quota) {
            co_return true;
        }
        co_return co_await token_.take(std::move(quota), shared_.quota_signal_);
    }

    /// Refuses an operation for which `take_token` found no token.
    [[nodiscard]] response_type refuse_for_limit() {
        auto detail = token_.note_refused(shared_.quota_signal_, recorder_);
        return refuse(backends::statement_status::overloaded, std::move(detail));
    }

    [[nodiscard]] response_type accept() const {
        return backends::make_response(backends::statement_status::done, {}, current_state());
    }
    /// Returns a response that refuses a statement. A malformed statement after the daemon rolled back the
    /// transaction is reported as `aborted`, so that the client learns of the rollback.
    [[nodiscard]] response_type refuse(backends::statement_status status, std::string detail) const {
        const bool is_rolled_back =
            is_transaction_abandoned_ && status == backends::statement_status::malformed;
        return backends::make_response(is_rolled_back ? backends::statement_status::aborted : status,
                                       std::move(detail), current_state());
    }

    [[nodiscard]] boost::asio::awaitable<bool> send_response(response_type response) {
        auto lines = Protocol::encode_statement_response(response);
        response_hold_ = std::move(response.hold_);
        // Only the encoded lines are kept while the client reads.
        response = {};
        if (response_hold_) {
            response_hold_->resize(lines.size());
        }
        const bool is_sent = co_await send(std::move(lines));
        response_hold_.reset();
        co_return is_sent;
    }

    [[nodiscard]] boost::asio::awaitable<bool> send(std::string lines) {
        return socket_.write(std::move(lines));
    }

    /// Counts a statement, records its latency and logs its outcome.
    void record_outcome(const callers::statement_fields& statement, const response_type& response,
                        base::clock::duration elapsed) {
        const bool is_local =
            response.trace_.attempts_ == 0 && response.status_ == backends::statement_status::done;
        count_outcome(shared_.counters_, response.status_);
        if (is_local) {
            return;
        }
        recorder_.record(route_ ? (*route_)->service_ : std::string{}, priority_name(), response.status_,
                         elapsed);
        if (response.detail_.starts_with(operation_token::refusal_prefix)) {
            // Logged by tenant, so that a tenant far above its limit does not displace the lines of others.
            return;
        }
        if (!recorder_.may_log(response.status_)) {
            if (!response.trace_.prepared_name_.empty()) {
                recorder_.note_unlogged_execution(statement.id_, response.trace_);
            }
            return;
        }
        const bool is_execute = statement.kind_ == callers::statement_kind::execute;
        statement_summary summary;
        summary.id_ = statement.id_;
        summary.database_ = database_;
        summary.service_ = route_ ? (*route_)->service_ : "-";
        summary.tenant_ = tenant_ && !tenant_->empty() ? *tenant_ : "-";
        summary.prepared_ = is_execute ? statement.name_ : "-";
        summary.elapsed_ = elapsed;
        summary.configuration_ = configuration_version();
        summary.behind_ = time_behind();
        summary.lease_left_ = shared_.published_lease_.expiry() - base::clock::now();
        log_outcome(summary, response);
    }

    [[nodiscard]] std::string priority_name() const {
        return route_ ? "priority_" + std::to_string((*route_)->priority_) : std::string{"none"};
    }

    static constexpr const char* unknown_key = "the key belongs to no tenant";
    static constexpr const char* is_behind = "a newer configuration has not arrived yet";
    static constexpr const char* stopping = "the daemon is stopping";
    static constexpr const char* session_full = "the session holds too many values and prepared statements";
    // Below the two seconds after which clients abandon a session that has not started.
    static constexpr base::clock::duration configuration_timeout{1'700};
    // Several times the time that a watch takes to deliver a change.
    static constexpr base::clock::duration newer_configuration_timeout{300};
    static constexpr base::clock::duration configuration_poll_interval{20};
    // A client that disappeared without closing its connection is detected by the next response sent to it.
    static constexpr base::clock::duration unacknowledged_data_timeout{10'000};

    // What an idle session was measured to take, with the buffer for an ordinary line.
    static constexpr std::uint64_t connection_bytes = 8192;
    // The decoded statement, the statement for the database and its encoded message; a value's text is held
    // twice.
    static constexpr std::uint64_t copies_of_statement = 5;
    static constexpr base::clock::duration memory_retry_interval{10};
    // Below the shortest timeout of a client for a statement.
    static constexpr base::clock::duration memory_wait_timeout{1'000};

    http::line_socket socket_;
    Directory& directory_;
    session_shared_state& shared_;
    statement_recorder& recorder_;
    std::string database_;
    /// The digest of the client's API key.
    operators::key_digest key_;
    /// The tenant of the current transaction or statement, before the first one that of the start.
    std::optional<std::string> tenant_;
    /// The token of the current operation.
    operation_token token_;
    callers::session_values values_;
    callers::session_phase phase_ = callers::session_phase::idle;
    backends::transaction_access access_ = backends::transaction_access::read_write;
    /// Route of the current transaction or statement; a changed route applies from the next one on.
    std::optional<operators::session_route> route_;
    std::optional<backends::open_transaction<Protocol>> transaction_;
    std::optional<base::log_position> own_commit_;
    base::memory_hold connection_hold_{&shared_.memory_, base::memory_part::connections};
    base::memory_hold values_hold_{&shared_.memory_, base::memory_part::values};
    base::memory_hold queued_hold_{&shared_.memory_, base::memory_part::queued};
    /// Covers the response that is being sent; null if it is short.
    std::shared_ptr<base::memory_hold> response_hold_;
    base::clock::time_point accepted_at_ = base::clock::now();
    base::clock::time_point completed_at_{};
    base::clock::time_point waiting_since_{};
    std::uint64_t checked_version_ = 0;
    bool is_waiting_for_start_ = true;
    bool has_started_ = false;
    bool has_completed_statement_ = false;
    bool is_waiting_ = false;
    bool is_transaction_abandoned_ = false;
    bool is_refused_as_withdrawn_ = false;
    bool has_written_ = false;
};

} // namespace proxy
