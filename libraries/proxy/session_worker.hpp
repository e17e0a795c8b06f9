#pragma once

#include <base/clock.hpp>
#include <base/event.hpp>
#include <http/listener.hpp>
#include <http/sleep.hpp>
#include <proxy/client_session.hpp>
#include <proxy/group_table.hpp>
#include <proxy/session_shared_state.hpp>
#include <proxy/statement_recorder.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <cstddef>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <utility>

namespace proxy {

/// How far a daemon has come with stopping.
enum class drain_step : std::uint8_t {
    serving,
    /// Sessions without a transaction are closed.
    closing_idle,
    /// Open transactions are given up too.
    closing_transactions,
};

/// One request thread: its listener, its sessions, and the groups of the services that it owns.
///
/// Thread safety: `context` from any thread; `listen` and `start` before the thread runs; the rest on the
/// worker's own thread. Lifetime: all workers live until every thread has ended.
template <backends::database_protocol Protocol>
class session_worker {
public:
    /// `tables` lists the groups of every request thread; this worker adds its own.
    session_worker(session_shared_state& shared, group_tables<Protocol>& tables)
        : shared_{shared}, table_{context_.get_executor(), shared}, directory_{table_, tables} {
        tables.add(table_);
    }

    [[nodiscard]] boost::asio::io_context& context() noexcept { return context_; }

    /// Opens the listener for clients. Errors: `settings_invalid`.
    [[nodiscard]] std::optional<base::error> listen(const base::endpoint& local) {
        auto opened = http::listener::open(context_.get_executor(), local);
        if (!opened) {
            return opened.last_reason();
        }
        listener_.emplace(std::move(*opened));
        return std::nullopt;
    }

    /// Starts to accept clients and to look after sessions and groups.
    void start() {
        boost::asio::co_spawn(context_, accept_clients(), boost::asio::detached);
        boost::asio::co_spawn(context_, look_after(), boost::asio::detached);
    }

    /// Adds the latency histograms of this thread to `totals`. Thread safety: any thread.
    void collect(std::map<base::metric_key, base::latency_buckets>& totals) const {
        recorder_.collect(totals);
    }

    void set_drain_step(drain_step step) noexcept { drain_step_ = step; }

private:
    using session = client_session<Protocol, service_directory<Protocol>>;

    boost::asio::awaitable<void> accept_clients() {
        while (listener_->is_open()) {
            auto accepted = co_await listener_->accept();
            if (!accepted) {
                // Out of file descriptors, for example: a pause keeps the accept loop from spinning.
                co_await http::sleep_for(accept_retry_delay);
                continue;
            }
            auto created = std::make_shared<session>(std::move(*accepted), directory_, shared_, recorder_);
            sessions_.push_back(created);
            shared_.counters_.sessions_opened_.fetch_add(1, std::memory_order_relaxed);
            shared_.counters_.sessions_open_.fetch_add(1, std::memory_order_relaxed);
            boost::asio::co_spawn(context_, serve(std::prev(sessions_.end())), boost::asio::detached);
        }
    }

    boost::asio::awaitable<void> serve(typename std::list<std::shared_ptr<session>>::iterator place) {
        const auto served = *place;
        co_await served->serve();
        sessions_.erase(place);
        shared_.counters_.sessions_open_.fetch_sub(1, std::memory_order_relaxed);
    }

    boost::asio::awaitable<void> look_after() {
        auto next_sessions = base::clock::now();
        for (;;) {
            const bool is_busy = table_.sweep();
            const auto now = base::clock::now();
            if (now >= next_sessions || drain_step_ != drain_step::serving) {
                look_after_sessions(now);
                recorder_.report_dropped();
                next_sessions = now + session_period;
            }
            co_await http::sleep_for(is_busy ? busy_period : calm_period);
        }
    }

    void look_after_sessions(base::clock::time_point now) {
        std::size_t closed = 0;
        for (const auto& one : sessions_) {
            const auto since = one->waiting_since();
            if (!since) {
                continue;
            }
            if (one->is_in_transaction()) {
                const bool is_over = drain_step_ == drain_step::closing_transactions ||
                                     now - *since >= one->transaction_idle_limit();
                if (is_over) {
                    boost::asio::co_spawn(context_, one->abandon_transaction(), boost::asio::detached);
                }
                continue;
            }
            const bool is_settled = now - *since >= drain_rest && one->is_idle();
            if (drain_step_ != drain_step::serving && is_settled && closed < most_closed_at_once) {
                one->close();
                ++closed;
            }
        }
    }

    static constexpr base::clock::duration accept_retry_delay{20};
    // Waiting statements are refused within a small part of the shortest objective of today.
    static constexpr base::clock::duration busy_period{20};
    static constexpr base::clock::duration calm_period{50};
    static constexpr base::clock::duration session_period{250};
    // A client that was just answered may be about to send its next statement.
    static constexpr base::clock::duration drain_rest{30};
    // Spreads the clients' reconnects over some hundred milliseconds.
    static constexpr std::size_t most_closed_at_once = 16;

    session_shared_state& shared_;
    boost::asio::io_context context_{1};
    group_table<Protocol> table_;
    service_directory<Protocol> directory_;
    statement_recorder recorder_;
    std::optional<http::listener> listener_;
    std::list<std::shared_ptr<session>> sessions_;
    drain_step drain_step_ = drain_step::serving;
};

} // namespace proxy
