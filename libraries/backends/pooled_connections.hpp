#pragma once

#include <backends/connection_pool.hpp>
#include <backends/load_events.hpp>
#include <base/clock.hpp>
#include <base/event.hpp>
#include <base/result.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <concepts>
#include <cstdint>
#include <list>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>

namespace backends {

/// A connection to a database that a pool can manage. `is_usable` returns false once either side has closed
/// it.
template <typename Connection>
concept poolable_connection = std::movable<Connection> &&
    requires(Connection& connection, const Connection& constant) {
    { constant.is_usable() } -> std::convertible_to<bool>;
    connection.close();
};

/// Opens connections to one database.
template <typename Opener, typename Connection>
concept connection_opener = requires(Opener& opener, base::clock::duration timeout) {
    { opener.connect(timeout) } -> std::same_as<boost::asio::awaitable<base::result<Connection>>>;
};

/// Opens, hands out and closes connections to one database as `connection_pool` decides.
///
/// A request for which no connection or slot is free waits in a coroutine. Waiting requests for the same use
/// are served in order of arrival. Thread safety: the pool and its guards must be used on the one thread that
/// runs `executor`.
template <poolable_connection Connection, connection_opener<Connection> Opener>
class pooled_connections {
    struct state;

public:
    /// Exclusive access to one connection. The destructor closes the connection unless `give_back` was
    /// called, because a request on it may still be without a response.
    class guard {
    public:
        guard(guard&& other) noexcept
            : state_{std::exchange(other.state_, nullptr)}, id_{other.id_}, connection_{other.connection_} {}
        guard& operator=(guard&& other) noexcept {
            if (this != &other) {
                discard();
                state_ = std::exchange(other.state_, nullptr);
                id_ = other.id_;
                connection_ = other.connection_;
            }
            return *this;
        }
        guard(const guard&) = delete;
        guard& operator=(const guard&) = delete;
        ~guard() { discard(); }

        /// Precondition of all members below: not moved from, given back or discarded.
        [[nodiscard]] Connection& operator*() const noexcept { return *connection_; }
        [[nodiscard]] Connection* operator->() const noexcept { return connection_; }

        /// Returns the connection to the pool. Precondition: every request on it has a response and it has no
        /// open transaction.
        void give_back() {
            if (auto owner = std::exchange(state_, nullptr)) {
                owner->release(id_, connection_->is_usable() ? connection_return::reuse
                                                             : connection_return::discard);
            }
        }

        /// Closes the connection. Does nothing if it was already given back or discarded.
        void discard() noexcept {
            if (auto owner = std::exchange(state_, nullptr)) {
                owner->release(id_, connection_return::discard);
            }
        }

        /// Releases the slot between two statements of a transaction; the connection stays pinned.
        /// Precondition: acquired with `connection_use::transaction`.
        void pause() {
            state_->pool_.pause(id_);
            state_->wake_waiters();
        }

        /// Waits for a slot for the next statement of a transaction. Errors: `timeout`, `shutting_down`.
        [[nodiscard]] boost::asio::awaitable<std::optional<base::error>>
        resume(base::clock::time_point deadline) {
            // Copied into the frame, because the guard may be moved while the coroutine waits.
            const auto owner = state_;
            const auto paused = id_;
            waiter waiting{*owner, connection_use::transaction, paused};
            co_return co_await owner->wait(waiting, deadline);
        }

    private:
        friend class pooled_connections;
        guard(std::shared_ptr<state> owner, std::uint64_t id)
            : state_{std::move(owner)}, id_{id}, connection_{&state_->connections_.at(id)} {}

        std::shared_ptr<state> state_;
        std::uint64_t id_;
        Connection* connection_;
    };

    /// `name` is the database's name in the log; `seed` determines the jitter of reconnects.
    pooled_connections(boost::asio::any_io_executor executor, Opener opener, connection_pool_limits limits,
                       std::string name, std::uint64_t seed)
        : state_{std::make_shared<state>(std::move(executor), std::move(opener), limits, std::move(name),
                                         seed)} {}

    /// Calls `close`. Guards may outlive the pool.
    ~pooled_connections() {
        if (state_) {
            close();
        }
    }
    pooled_connections(pooled_connections&&) noexcept = default;
    pooled_connections& operator=(pooled_connections&&) = delete;
    pooled_connections(const pooled_connections&) = delete;
    pooled_connections& operator=(const pooled_connections&) = delete;

    /// Waits for a connection and a slot. Errors: `timeout` if all are in use until the deadline, or instead
    /// the error of the last connection attempt if it failed; `shutting_down` after `close`.
    [[nodiscard]] boost::asio::awaitable<base::result<guard>>
    acquire(base::clock::time_point deadline, connection_use use = connection_use::statement) {
        const auto owner = state_;
        waiter waiting{*owner, use, std::nullopt};
        if (auto failed = co_await owner->wait(waiting, deadline)) {
            co_return std::move(*failed);
        }
        co_return guard{owner, waiting.take()};
    }

    /// Closes connections that were idle for too long and opens spare ones. To be called about once a second.
    /// Idle connections that the database has closed are removed when they are next acquired.
    void maintain() { state_->maintain(); }

    /// Marks all open connections as suspect, so that none is handed out again unless it is first released
    /// for reuse. To be called when one of them does not respond while a new connection works.
    void mark_existing_suspect() {
        for (const auto& [id, open] : state_->connections_) {
            state_->suspect_.insert(id);
        }
    }

    /// Replaces the limits, for example after a change of the declaration.
    void set_limits(connection_pool_limits limits) {
        state_->pool_.set_limits(limits);
        state_->maintain();
        state_->wake_waiters();
    }

    /// Closes idle connections now and the others when they are released, and fails all waiting requests.
    void close() { state_->close(); }

    [[nodiscard]] connection_pool_counts counts() const { return state_->pool_.counts(); }
    /// Returns whether another transaction may pin a connection.
    [[nodiscard]] bool has_room_for_transaction() const noexcept {
        return state_->pool_.has_room_for_transaction();
    }
    /// Returns how many statements could start now, as the argument of `request_queue::next`.
    [[nodiscard]] std::uint32_t free_slots() const noexcept { return state_->pool_.free_slots(); }
    /// Returns how many coroutines wait in `acquire` or `resume`.
    [[nodiscard]] std::size_t waiting() const noexcept { return state_->waiting_.size(); }

private:
    /// A waiting coroutine. Lives in the coroutine's frame, so that destroying the coroutine removes it from
    /// the pool.
    class waiter {
    public:
        waiter(state& owner, connection_use use, std::optional<std::uint64_t> paused)
            : owner_{owner}, use_{use}, paused_{paused}, wake_{owner.executor_} {}
        ~waiter() {
            dequeue();
            if (granted_ && !paused_) {
                owner_.release(*granted_, connection_return::reuse);
            }
        }
        waiter(const waiter&) = delete;
        waiter& operator=(const waiter&) = delete;
        waiter(waiter&&) = delete;
        waiter& operator=(waiter&&) = delete;

        void enqueue() { position_ = owner_.waiting_.insert(owner_.waiting_.end(), this); }
        void dequeue() {
            if (position_) {
                owner_.waiting_.erase(*position_);
                position_.reset();
            }
        }

        /// Acquires the connection or slot if it is free.
        bool try_take() {
            if (paused_) {
                granted_ = owner_.pool_.resume(*paused_) ? paused_ : std::nullopt;
            } else {
                granted_ = owner_.take_usable(use_);
            }
            return granted_.has_value();
        }
        [[nodiscard]] std::uint64_t take() { return *std::exchange(granted_, std::nullopt); }

        state& owner_;
        connection_use use_;
        std::optional<std::uint64_t> paused_;
        boost::asio::steady_timer wake_;
        std::optional<std::uint64_t> granted_;
        std::optional<typename std::list<waiter*>::iterator> position_;
    };

    struct state : std::enable_shared_from_this<state> {
        state(boost::asio::any_io_executor executor, Opener opener, connection_pool_limits limits,
              std::string name, std::uint64_t seed)
            : executor_{std::move(executor)}, opener_{std::move(opener)}, name_{std::move(name)},
              pool_{limits, seed}, retry_{executor_} {}

        boost::asio::any_io_executor executor_;
        Opener opener_;
        std::string name_;
        connection_pool pool_;
        std::unordered_map<std::uint64_t, Connection> connections_;
        /// Connections that are not handed out again until one is released for reuse.
        std::set<std::uint64_t> suspect_;
        std::list<waiter*> waiting_;
        std::optional<base::error> last_failure_;
        boost::asio::steady_timer retry_;
        bool is_retry_scheduled_ = false;
        bool is_closed_ = false;

        boost::asio::awaitable<std::optional<base::error>> wait(waiter& waiting,
                                                                base::clock::time_point deadline) {
            // Coroutines that already wait go first.
            if (!is_closed_ && waiting_.empty() && waiting.try_take()) {
                open_connections();
                co_return std::nullopt;
            }
            waiting.enqueue();
            wake_waiters();
            while (!waiting.granted_ && !is_closed_) {
                const auto left = deadline - base::clock::now();
                if (left <= base::clock::duration{0}) {
                    break;
                }
                waiting.wake_.expires_after(left);
                boost::system::error_code ignored;
                co_await waiting.wake_.async_wait(
                    boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
            }
            waiting.dequeue();
            if (waiting.granted_) {
                co_return std::nullopt;
            }
            if (is_closed_) {
                co_return base::error{base::error_kind::shutting_down, "the connection pool was closed"};
            }
            co_return last_failure_.value_or(base::error{
                base::error_kind::timeout, "no connection to the database became free before the deadline"});
        }

        /// Acquires an idle connection. Removes suspect ones and those that the database has closed.
        std::optional<std::uint64_t> take_usable(connection_use use) {
            while (const auto id = pool_.acquire(use)) {
                if (connections_.at(*id).is_usable() && !suspect_.contains(*id)) {
                    return id;
                }
                static_cast<void>(pool_.release(*id, base::clock::now(), connection_return::discard));
                drop(*id);
            }
            return std::nullopt;
        }

        void drop(std::uint64_t id) {
            const auto found = connections_.find(id);
            found->second.close();
            connections_.erase(found);
            suspect_.erase(id);
        }

        void release(std::uint64_t id, connection_return end) {
            const auto last = is_closed_ ? connection_return::discard : end;
            if (last == connection_return::reuse) {
                suspect_.erase(id);
            }
            if (!pool_.release(id, base::clock::now(), last)) {
                drop(id);
            }
            wake_waiters();
        }

        /// Wakes the coroutines whose connection or slot is free and opens connections for the others.
        void wake_waiters() {
            for (auto position = waiting_.begin(); position != waiting_.end() && pool_.free_slots() > 0;) {
                auto& first = **position;
                ++position;
                if (first.try_take()) {
                    first.dequeue();
                    first.wake_.cancel();
                }
            }
            open_connections();
        }

        void open_connections() {
            if (is_closed_) {
                return;
            }
            const auto waiting_for_connection = std::count_if(
                waiting_.begin(), waiting_.end(), [](const auto* waiting) { return !waiting->paused_; });
            const auto now = base::clock::now();
            for (const auto id : pool_.open(now, static_cast<std::uint32_t>(waiting_for_connection))) {
                boost::asio::co_spawn(executor_, connect(this->shared_from_this(), id),
                                      boost::asio::detached);
            }
            const auto next = pool_.next_connect(now);
            if (next && waiting_for_connection > 0 && !is_retry_scheduled_) {
                schedule_open(*next - now);
            }
        }

        void schedule_open(base::clock::duration delay) {
            is_retry_scheduled_ = true;
            retry_.expires_after(delay);
            retry_.async_wait([weak = this->weak_from_this()](boost::system::error_code failed) {
                const auto self = weak.lock();
                if (self && !failed) {
                    self->is_retry_scheduled_ = false;
                    self->open_connections();
                }
            });
        }

        static boost::asio::awaitable<void> connect(std::shared_ptr<state> self, std::uint64_t id) {
            const auto timeout = self->pool_.limits()->connect_timeout_;
            auto connected = co_await self->opener_.connect(timeout);
            const auto now = base::clock::now();
            if (!connected) {
                self->note_failure(connected.last_reason());
                self->pool_.note_connect_failed(id, now);
            } else if (self->pool_.note_connected(id, now)) {
                self->note_success();
                self->connections_.emplace(id, std::move(*connected));
            } else {
                connected->close();
            }
            self->wake_waiters();
        }

        /// Logs only the first of consecutive failures, because the attempts continue while the database is
        /// unreachable.
        void note_failure(const base::error& reason) {
            if (!last_failure_) {
                base::log_event(load_events::connect_failed,
                                {{"database", name_}, {"reason", reason.to_string()}});
            }
            last_failure_ = reason;
        }

        void note_success() {
            if (last_failure_) {
                base::log_event(load_events::connect_recovered, {{"database", name_}});
            }
            last_failure_.reset();
        }

        void maintain() {
            for (const auto id : pool_.close_idle(base::clock::now())) {
                drop(id);
            }
            open_connections();
        }

        void close() {
            is_closed_ = true;
            retry_.cancel();
            auto limits = pool_.limits().with([](auto& fields) { fields.connections_ = 0; });
            pool_.set_limits(limits);
            maintain();
            for (auto* waiting : waiting_) {
                waiting->wake_.cancel();
            }
        }
    };

    std::shared_ptr<state> state_;
};

} // namespace backends
