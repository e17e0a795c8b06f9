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

/// A connection to a database that a pool can keep. `is_usable` is false once it was closed by either side.
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

/// Opens, gives out and closes connections to one database as `connection_pool` decides.
///
/// A request without a free connection or slot waits in a coroutine and is woken when it gets one, in the
/// order of arrival among those that wait for the same use. Thread safety: everything, the guards included,
/// is used on the one thread that runs `executor`.
template <poolable_connection Connection, connection_opener<Connection> Opener>
class pooled_connections {
    struct state;

public:
    /// One connection that was given out. Discards it when it is destroyed without `give_back`, because a
    /// request may then be unanswered.
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

        /// Precondition of all below: neither moved from, given back nor discarded.
        [[nodiscard]] Connection& operator*() const noexcept { return *connection_; }
        [[nodiscard]] Connection* operator->() const noexcept { return connection_; }

        /// Returns the connection to the pool. Precondition: every request on it was answered and it has no
        /// open transaction.
        void give_back() {
            if (auto owner = std::exchange(state_, nullptr)) {
                owner->release(id_, connection_->is_usable() ? lease_end::reuse : lease_end::discard);
            }
        }

        /// Closes the connection. Does nothing when it was given back or discarded before.
        void discard() noexcept {
            if (auto owner = std::exchange(state_, nullptr)) {
                owner->release(id_, lease_end::discard);
            }
        }

        /// Gives up the slot between two statements of a transaction; the connection stays pinned.
        /// Precondition: acquired with `connection_use::transaction`.
        void pause() {
            state_->pool_.pause(id_);
            state_->serve();
        }

        /// Takes a slot for the next statement of a transaction. Errors: `timeout`, `shutting_down`.
        [[nodiscard]] boost::asio::awaitable<std::optional<base::error>>
        resume(base::clock::time_point deadline) {
            // Kept here because the guard may be moved while the coroutine waits.
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

    /// `name` is the database's name for the log; `seed` is for the jitter of reconnects.
    pooled_connections(boost::asio::any_io_executor executor, Opener opener, connection_pool_limits limits,
                       std::string name, std::uint64_t seed)
        : state_{std::make_shared<state>(std::move(executor), std::move(opener), limits, std::move(name),
                                         seed)} {}

    /// Closes as `close` does. Guards may outlive the pool.
    ~pooled_connections() {
        if (state_) {
            close();
        }
    }
    pooled_connections(pooled_connections&&) noexcept = default;
    pooled_connections& operator=(pooled_connections&&) = delete;
    pooled_connections(const pooled_connections&) = delete;
    pooled_connections& operator=(const pooled_connections&) = delete;

    /// Waits for a connection and a slot. Errors: `timeout` when all are in use up to the deadline, the last
    /// reason of a failed connect when there is one, `shutting_down` after `close`.
    [[nodiscard]] boost::asio::awaitable<base::result<guard>>
    acquire(base::clock::time_point deadline, connection_use use = connection_use::statement) {
        const auto owner = state_;
        waiter waiting{*owner, use, std::nullopt};
        if (auto failed = co_await owner->wait(waiting, deadline)) {
            co_return std::move(*failed);
        }
        co_return guard{owner, waiting.take()};
    }

    /// Closes idle connections that are due and opens spare ones. To be called about once a second. Idle
    /// connections that the database closed are dropped when their turn comes.
    void maintain() { state_->maintain(); }

    /// Gives none of the connections that are open now out again unless they answer a request first: one of
    /// them was found silent while a fresh one worked.
    void mark_existing_suspect() {
        for (const auto& [id, open] : state_->connections_) {
            state_->distrusted_.insert(id);
        }
    }

    /// Replaces the limits, for example when the declaration changed.
    void set_limits(connection_pool_limits limits) {
        state_->pool_.set_limits(limits);
        state_->maintain();
        state_->serve();
    }

    /// Closes idle connections now and the others as they come back, and fails all that wait.
    void close() { state_->close(); }

    [[nodiscard]] connection_pool_counts counts() const { return state_->pool_.counts(); }
    /// Returns whether another transaction may pin a connection.
    [[nodiscard]] bool has_room_for_transaction() const noexcept {
        return state_->pool_.has_room_for_transaction();
    }
    /// Returns how many statements could start now; for `request_queue::next`.
    [[nodiscard]] std::uint32_t free_slots() const noexcept { return state_->pool_.free_slots(); }
    /// Returns how many coroutines wait in `acquire` or `resume`.
    [[nodiscard]] std::size_t waiting() const noexcept { return state_->waiting_.size(); }

private:
    /// A coroutine that waits. Lives in its frame, so that a destroyed coroutine leaves no trace.
    class waiter {
    public:
        waiter(state& owner, connection_use use, std::optional<std::uint64_t> paused)
            : owner_{owner}, use_{use}, paused_{paused}, wake_{owner.executor_} {}
        ~waiter() {
            leave();
            if (granted_ && !paused_) {
                owner_.release(*granted_, lease_end::reuse);
            }
        }
        waiter(const waiter&) = delete;
        waiter& operator=(const waiter&) = delete;
        waiter(waiter&&) = delete;
        waiter& operator=(waiter&&) = delete;

        void join() { place_ = owner_.waiting_.insert(owner_.waiting_.end(), this); }
        void leave() {
            if (place_) {
                owner_.waiting_.erase(*place_);
                place_.reset();
            }
        }

        /// Takes what it waits for, if that is free.
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
        std::optional<typename std::list<waiter*>::iterator> place_;
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
        /// Connections that have to answer a request before they are given out again.
        std::set<std::uint64_t> distrusted_;
        std::list<waiter*> waiting_;
        std::optional<base::error> last_failure_;
        boost::asio::steady_timer retry_;
        bool is_retry_set_ = false;
        bool is_closed_ = false;

        boost::asio::awaitable<std::optional<base::error>> wait(waiter& waiting,
                                                                base::clock::time_point deadline) {
            // Does not pass a coroutine that waits already.
            if (!is_closed_ && waiting_.empty() && waiting.try_take()) {
                grow();
                co_return std::nullopt;
            }
            waiting.join();
            serve();
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
            waiting.leave();
            if (waiting.granted_) {
                co_return std::nullopt;
            }
            if (is_closed_) {
                co_return base::error{base::error_kind::shutting_down, "the connection pool was closed"};
            }
            co_return last_failure_.value_or(base::error{
                base::error_kind::timeout, "no connection to the database was free up to the deadline"});
        }

        /// Takes an idle connection; drops those that the database has closed meanwhile.
        std::optional<std::uint64_t> take_usable(connection_use use) {
            while (const auto id = pool_.acquire(use)) {
                if (connections_.at(*id).is_usable() && !distrusted_.contains(*id)) {
                    return id;
                }
                static_cast<void>(pool_.release(*id, base::clock::now(), lease_end::discard));
                drop(*id);
            }
            return std::nullopt;
        }

        void drop(std::uint64_t id) {
            const auto found = connections_.find(id);
            found->second.close();
            connections_.erase(found);
            distrusted_.erase(id);
        }

        void release(std::uint64_t id, lease_end end) {
            const auto last = is_closed_ ? lease_end::discard : end;
            if (last == lease_end::reuse) {
                distrusted_.erase(id);
            }
            if (!pool_.release(id, base::clock::now(), last)) {
                drop(id);
            }
            serve();
        }

        /// Wakes the coroutines that can go on and opens connections for the others.
        void serve() {
            for (auto place = waiting_.begin(); place != waiting_.end() && pool_.free_slots() > 0;) {
                auto& first = **place;
                ++place;
                if (first.try_take()) {
                    first.leave();
                    first.wake_.cancel();
                }
            }
            grow();
        }

        void grow() {
            if (is_closed_) {
                return;
            }
            const auto needing = std::count_if(waiting_.begin(), waiting_.end(),
                                               [](const auto* waiting) { return !waiting->paused_; });
            const auto now = base::clock::now();
            for (const auto id : pool_.open(now, static_cast<std::uint32_t>(needing))) {
                boost::asio::co_spawn(executor_, connect(this->shared_from_this(), id),
                                      boost::asio::detached);
            }
            const auto next = pool_.next_connect(now);
            if (next && needing > 0 && !is_retry_set_) {
                grow_after(*next - now);
            }
        }

        void grow_after(base::clock::duration delay) {
            is_retry_set_ = true;
            retry_.expires_after(delay);
            retry_.async_wait([weak = this->weak_from_this()](boost::system::error_code failed) {
                const auto self = weak.lock();
                if (self && !failed) {
                    self->is_retry_set_ = false;
                    self->grow();
                }
            });
        }

        static boost::asio::awaitable<void> connect(std::shared_ptr<state> self, std::uint64_t id) {
            const auto timeout = self->pool_.limits()->connect_timeout_;
            auto made = co_await self->opener_.connect(timeout);
            const auto now = base::clock::now();
            if (!made) {
                self->note_failure(made.last_reason());
                self->pool_.note_connect_failed(id, now);
            } else if (self->pool_.note_connected(id, now)) {
                self->note_success();
                self->connections_.emplace(id, std::move(*made));
            } else {
                made->close();
            }
            self->serve();
        }

        /// Logs the first failure of a row only, because connects go on while the database is away.
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
            grow();
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
