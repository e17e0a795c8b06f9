#pragma once

#include <base/clock.hpp>
#include <base/event.hpp>
#include <base/event_limiter.hpp>
#include <base/memory_budget.hpp>
#include <callers/client_limits.hpp>
#include <http/listener.hpp>
#include <http/sleep.hpp>
#include <proxy/background_task.hpp>
#include <proxy/client_session.hpp>
#include <proxy/group_table.hpp>
#include <proxy/session_shared_state.hpp>
#include <proxy/statement_recorder.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <exception>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace proxy {

/// The state of one request thread: its listener, its sessions, and the groups of the services that it owns.
///
/// Thread safety: `context` and `collect` from any thread; `listen` and `start` before the thread runs; the
/// rest on the worker's own thread. Lifetime: all workers live until every thread has ended.
template <backends::database_protocol Protocol>
class session_worker {
public:
    /// `tables` lists the group tables of all request threads; the constructor adds this worker's table.
    /// `number` is this worker's place among them.
    session_worker(session_shared_state& shared, group_tables<Protocol>& tables, std::size_t number)
        : shared_{shared}, number_{number}, table_{context_.get_executor(), shared}, directory_{table_,
                                                                                                tables} {
        tables.add(table_);
    }

    [[nodiscard]] boost::asio::io_context& context() noexcept { return context_; }

    /// Opens the listener for clients. Errors: `settings_invalid` when the address cannot be used.
    [[nodiscard]] std::optional<base::error> listen(const base::endpoint& local) {
        auto opened = http::listener::open(context_.get_executor(), local);
        if (!opened) {
            return opened.last_reason();
        }
        listener_.emplace(std::move(*opened));
        listener_->limit_socket_buffers(socket_buffer_bytes);
        return std::nullopt;
    }

    /// Starts accepting clients and the periodic maintenance of sessions and groups.
    void start() {
        const task_failure_log accept_failures{"accept", shared_.counters_.tasks_failed_};
        const task_failure_log maintenance_failures{"maintenance", shared_.counters_.tasks_failed_};
        boost::asio::co_spawn(context_,
                              run_until_stopped([this] { return accept_clients(); }, accept_failures),
                              accept_failures);
        boost::asio::co_spawn(context_,
                              run_until_stopped([this] { return run_maintenance(); }, maintenance_failures),
                              maintenance_failures);
    }

    /// Adds the latency histograms of this thread to `totals`.
    void collect(std::map<base::metric_key, base::latency_buckets>& totals) const {
        recorder_.collect(totals);
    }

    /// Stops accepting clients. All accepted clients count as open sessions afterwards.
    [[nodiscard]] boost::asio::awaitable<void> stop_accepting() {
        listener_->close();
        co_return;
    }

private:
    using session = client_session<Protocol, service_directory<Protocol>>;

    boost::asio::awaitable<void> accept_clients() {
        while (listener_->is_open()) {
            auto accepted = co_await listener_->accept();
            if (!accepted) {
                if (accepted.last_reason().kind() == base::error_kind::too_large) {
                    // The process has no free descriptor.
                    make_room_for_connections(max_closed_per_check);
                }
                // Keeps the loop from spinning when accept fails repeatedly, for example without free file
                // descriptors.
                co_await http::sleep_for(accept_retry_delay);
                continue;
            }
            admit(std::move(*accepted));
        }
    }

    /// Starts a session, or closes the connection if there is no room for it.
    void admit(boost::asio::ip::tcp::socket socket) {
        const auto open = shared_.counters_.sessions_open_.load(std::memory_order_relaxed);
        const bool is_full = open >= shared_.max_sessions_.load(std::memory_order_relaxed);
        auto created = std::make_shared<session>(std::move(socket), directory_, shared_, recorder_);
        const bool has_room = (!is_full || make_room_for_connections(1)) && created->take_connection_memory();
        if (!has_room) {
            if (!is_full) {
                // The next connection finds the memory that this makes free.
                make_room_for_connections(1);
            }
            note_closing(*created, callers::closing_reason::connections_short, base::clock::now());
            return;
        }
        sessions_.push_back(std::move(created));
        shared_.counters_.sessions_opened_.fetch_add(1, std::memory_order_relaxed);
        shared_.counters_.sessions_open_.fetch_add(1, std::memory_order_relaxed);
        boost::asio::co_spawn(context_, serve(std::prev(sessions_.end())), log_session_failures());
    }

    /// Closes up to `count` sessions of this thread that give least for their connection. Returns whether at
    /// least one was closed.
    bool make_room_for_connections(std::size_t count) {
        const auto now = base::clock::now();
        std::vector<std::shared_ptr<session>> open_sessions;
        std::vector<callers::connection_holder> holders;
        for (const auto& one : sessions_) {
            if (one->is_open()) {
                open_sessions.push_back(one);
                holders.push_back(one->describe_connection(now));
            }
        }
        std::size_t closed = 0;
        while (closed < count) {
            const auto chosen = callers::choose_connection_holder(holders);
            if (!chosen) {
                break;
            }
            close_session(*open_sessions[*chosen], callers::closing_reason::connections_short, now);
            // A closed session is no longer a candidate.
            holders[*chosen].is_waiting_for_client_ = false;
            ++closed;
        }
        return closed > 0;
    }

    /// Closes the sessions of this thread that hold most of each part of the memory that has become short
    /// since the last call.
    void relieve_memory(base::clock::time_point now) {
        for (const auto part : base::memory_parts) {
            const auto shortages = shared_.memory_.shortages(part);
            auto& checked = checked_shortages_.at(static_cast<std::size_t>(part));
            if (shortages == std::exchange(checked, shortages)) {
                // Other threads must not wait for a candidate of this one.
                (void)shared_.client_pressure_.is_highest(part, number_, 0);
            } else if (part != base::memory_part::connections && part != base::memory_part::queued) {
                close_greatest_holders(part, now);
            }
        }
    }

    void close_greatest_holders(base::memory_part part, base::clock::time_point now) {
        std::vector<std::shared_ptr<session>> open_sessions;
        std::vector<callers::memory_holder> holders;
        for (const auto& one : sessions_) {
            if (one->is_open()) {
                open_sessions.push_back(one);
                holders.push_back(one->describe_memory(part, now));
            }
        }
        const auto wanted = shared_.memory_.share(part) / relief_fraction;
        std::uint64_t freed = 0;
        while (freed < wanted) {
            const auto chosen = callers::choose_memory_holder(holders);
            const auto score = chosen ? callers::closing_score(holders[*chosen]) : 0;
            if (!shared_.client_pressure_.is_highest(part, number_, score)) {
                break;
            }
            freed += holders[*chosen].bytes_;
            close_session(*open_sessions[*chosen], callers::closing_reason::memory_short, now);
            holders[*chosen].bytes_ = 0;
        }
    }

    void close_overdue_sessions(base::clock::time_point now) {
        auto timeouts = shared_.client_timeouts_.read([](const auto& settings) { return settings; });
        shared_.routes_.read([&timeouts](const auto& routes) {
            timeouts.start_ = routes->start_timeout_.value_or(timeouts.start_);
            timeouts.line_ = routes->client_idle_.value_or(timeouts.line_);
            timeouts.response_ = routes->client_idle_.value_or(timeouts.response_);
            return 0;
        });
        for (const auto& one : sessions_) {
            if (const auto reason = one->overdue_reason(now, timeouts); reason && one->is_open()) {
                close_session(*one, *reason, now);
            }
        }
    }

    void close_session(session& closed, callers::closing_reason reason, base::clock::time_point now) {
        note_closing(closed, reason, now);
        closed.close();
    }

    /// Counts a connection that is closed because of a limit, and logs it at a limited rate.
    void note_closing(const session& closed, callers::closing_reason reason, base::clock::time_point now) {
        shared_.counters_.clients_closed_.at(static_cast<std::size_t>(reason))
            .fetch_add(1, std::memory_order_relaxed);
        if (!closing_log_.allows(now)) {
            return;
        }
        base::log_event(
            events::client_closed,
            {{"reason", std::string{name_of(reason)}},
             {"peer", closed.peer()},
             {"database", closed.database().empty() ? "-" : closed.database().substr(0, max_logged_name)},
             {"input", std::to_string(closed.held_bytes(base::memory_part::input))},
             {"values", std::to_string(closed.held_bytes(base::memory_part::values))},
             {"responses", std::to_string(closed.held_bytes(base::memory_part::responses))},
             {"sessions", std::to_string(shared_.counters_.sessions_open_.load(std::memory_order_relaxed))}});
    }

    void report_dropped_closings() {
        if (const auto dropped = closing_log_.take_dropped_count(); dropped > 0) {
            base::log_event(events::client_closings_dropped, {{"lines", std::to_string(dropped)}});
        }
    }

    boost::asio::awaitable<void> serve(typename std::list<std::shared_ptr<session>>::iterator position) {
        const auto current_session = *position;
        std::exception_ptr failure;
        try {
            co_await current_session->serve();
        } catch (...) {
            failure = std::current_exception();
        }
        if (current_session->has_sent_too_much()) {
            note_closing(*current_session, callers::closing_reason::line_too_long, base::clock::now());
        }
        sessions_.erase(position);
        shared_.counters_.sessions_open_.fetch_sub(1, std::memory_order_relaxed);
        log_session_failures()(failure);
    }

    [[nodiscard]] task_failure_log log_session_failures() const {
        return task_failure_log{"session", shared_.counters_.tasks_failed_};
    }

    boost::asio::awaitable<void> run_maintenance() {
        auto next_session_check = base::clock::now();
        for (;;) {
            const bool is_busy = table_.sweep();
            const auto now = base::clock::now();
            const auto step = shared_.stop_progress_.step();
            relieve_memory(now);
            if (now >= next_session_check || step != drain_step::serving) {
                maintain_sessions(now, step);
                close_overdue_sessions(now);
                report_dropped_closings();
                recorder_.report_dropped(table_.take_dropped_preparations());
                next_session_check = now + session_check_interval;
            }
            co_await http::sleep_for(is_busy ? busy_interval : idle_interval);
        }
    }

    void maintain_sessions(base::clock::time_point now, drain_step step) {
        end_withdrawn_sessions();
        std::size_t closed = 0;
        for (const auto& open_session : sessions_) {
            const auto since = open_session->waiting_since();
            if (!since) {
                continue;
            }
            if (open_session->is_in_transaction()) {
                const bool is_stopping = step >= drain_step::closing_transactions;
                if (is_stopping || now - *since >= open_session->transaction_idle_timeout()) {
                    const auto* reason = is_stopping ? session::daemon_stops : session::idle_too_long;
                    boost::asio::co_spawn(context_, open_session->abandon_transaction(reason),
                                          log_session_failures());
                }
                continue;
            }
            const bool is_closable = now - *since >= min_idle_before_close && open_session->is_idle();
            if (step != drain_step::serving && is_closable && closed < max_closed_per_check) {
                open_session->close();
                ++closed;
            }
        }
    }

    /// Ends idle sessions and transactions whose API key a new configuration withdrew. A session is checked
    /// once for each configuration, when it waits for its client: one that serves a statement now may be in a
    /// transaction afterwards.
    void end_withdrawn_sessions() {
        const auto version = shared_.routes_.read([](const auto& routes) { return routes->version_; });
        for (const auto& open_session : sessions_) {
            if (open_session->checked_version() == version || !open_session->waiting_since()) {
                continue;
            }
            open_session->set_checked_version(version);
            if (open_session->is_in_transaction()) {
                if (open_session->has_tenant_changed()) {
                    boost::asio::co_spawn(context_, open_session->abandon_transaction(session::key_changed),
                                          log_session_failures());
                }
            } else if (open_session->is_idle() && open_session->is_key_withdrawn()) {
                open_session->close_withdrawn();
            }
        }
    }

    static constexpr base::clock::duration accept_retry_delay{20};
    // Short, so that statements waiting in the queue are refused within a small part of the shortest latency
    // objective.
    static constexpr base::clock::duration busy_interval{20};
    static constexpr base::clock::duration idle_interval{50};
    static constexpr base::clock::duration session_check_interval{250};
    // A client that has just received a response may be about to send its next statement.
    static constexpr base::clock::duration min_idle_before_close{30};
    // Spreads the reconnects of the clients over several hundred milliseconds.
    static constexpr std::size_t max_closed_per_check = 16;
    // A look at the sessions frees at most about this part of what is short, so that those who wait are
    // served before more sessions are closed.
    static constexpr std::uint64_t relief_fraction = 8;
    // Enough for the bandwidth of a host at the round-trip time between two hosts. Without it the operating
    // system holds several MB for each connection that is not read.
    static constexpr int socket_buffer_bytes = 65536;
    static constexpr std::uint32_t max_closings_logged_per_second = 5;
    static constexpr std::size_t max_logged_name = 64;

    session_shared_state& shared_;
    /// The place among the workers.
    std::size_t number_;
    boost::asio::io_context context_{1};
    group_table<Protocol> table_;
    service_directory<Protocol> directory_;
    statement_recorder recorder_;
    std::optional<http::listener> listener_;
    std::list<std::shared_ptr<session>> sessions_;
    /// How often each part of the memory had been short at the last look.
    std::array<std::uint64_t, base::memory_part_count> checked_shortages_{};
    base::event_limiter closing_log_{max_closings_logged_per_second};
};

} // namespace proxy
