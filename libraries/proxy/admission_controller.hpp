#pragma once

#include <backends/queue_item.hpp>
#include <backends/queue_refusal.hpp>
#include <backends/request_queue.hpp>
#include <base/clock.hpp>
#include <base/result.hpp>
#include <http/sleep.hpp>
#include <http/wait_signal.hpp>
#include <operators/service_declaration.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <utility>

namespace proxy {

/// Limits how many requests of a group run at the same time on its primary, or on its replicas, and queues
/// the others.
///
/// A request suspends in `admit` until the queue starts it and holds its slot until its ticket is destroyed.
/// Thread safety: used by the group's thread only. Lifetime: held by a `std::shared_ptr`; tickets and the
/// expiry coroutine keep it alive.
template <backends::request_queue Queue, base::time_source Clock>
class admission_controller : public std::enable_shared_from_this<admission_controller<Queue, Clock>> {
public:
    /// Holds a slot until it is released or destroyed.
    class ticket {
    public:
        ticket(std::shared_ptr<admission_controller> controller, std::uint64_t id)
            : controller_{std::move(controller)}, id_{id} {}
        ~ticket() { release(); }
        ticket(ticket&& other) noexcept : controller_{std::move(other.controller_)}, id_{other.id_} {}
        ticket& operator=(ticket&& other) noexcept {
            if (this != &other) {
                release();
                controller_ = std::move(other.controller_);
                id_ = other.id_;
            }
            return *this;
        }
        ticket(const ticket&) = delete;
        ticket& operator=(const ticket&) = delete;

        /// Releases the slot before destruction.
        void release() noexcept {
            if (controller_) {
                std::exchange(controller_, nullptr)->finish(id_);
            }
        }

    private:
        std::shared_ptr<admission_controller> controller_;
        std::uint64_t id_;
    };

    /// Why a request was not admitted. Such a request has provably not run.
    struct refusal {
        base::error reason_;
        base::clock::duration retry_after_{0};
    };

    /// The result of `admit`: either a ticket or a refusal.
    struct admission {
        std::optional<ticket> ticket_;
        std::optional<refusal> refusal_;
    };

    admission_controller(boost::asio::any_io_executor executor,
                         const operators::service_declaration& declaration, Clock clock)
        : executor_{std::move(executor)}, queue_{declaration}, clock_{std::move(clock)} {}

    /// Waits for a slot, at most until the item's deadline. Assigns the item's id.
    [[nodiscard]] boost::asio::awaitable<admission> admit(backends::queue_item item) {
        const auto self = this->shared_from_this();
        if (stopped_) {
            co_return admission{std::nullopt, refusal{closed_error()}};
        }
        const auto id = ++last_id_;
        waiter pending;
        const auto item_with_id = item.with([id](auto& fields) { fields.id_ = id; });
        const auto offer = queue_.offer(item_with_id, clock_.now());
        for (const auto& displaced : offer->displaced_) {
            refuse(displaced);
        }
        if (offer->refused_) {
            co_return to_admission(*offer->refused_);
        }
        waiters_.emplace(id, &pending);
        start_expiry();
        start_admitted();
        while (pending.state_ == waiter_state::queued && clock_.now() < item->deadline_) {
            co_await pending.changed_.wait_for(item->deadline_ - clock_.now());
        }
        waiters_.erase(id);
        if (pending.state_ == waiter_state::started) {
            co_return admission{ticket{self, id}, std::nullopt};
        }
        if (pending.state_ == waiter_state::queued) {
            queue_.withdraw(id);
            base::error expired{base::error_kind::deadline_expired, "the deadline expired in the queue"};
            co_return admission{std::nullopt, refusal{std::move(expired)}};
        }
        co_return to_admission(*pending.refusal_);
    }

    /// Sets the maximum number of running requests; 0 while no database can take any.
    void set_slots(std::uint32_t slots) {
        slots_ = slots;
        start_admitted();
    }

    /// Refuses all waiting and all later requests. Running requests keep their slots.
    void stop() {
        stopped_ = true;
        for (const auto& [id, pending] : waiters_) {
            if (pending->state_ == waiter_state::queued) {
                queue_.withdraw(id);
                pending->refusal_ = backends::queue_refusal_fields{.id_ = id, .reason_ = closed_error()};
                pending->state_ = waiter_state::refused;
                pending->changed_.notify_all();
            }
        }
    }

    /// Returns the number of requests that hold a slot.
    [[nodiscard]] std::uint32_t running() const noexcept { return running_; }
    /// Returns the load of the queue, for throttling and metrics.
    [[nodiscard]] backends::queue_load load() const { return queue_.load(); }
    /// Returns whether no request waits or runs.
    [[nodiscard]] bool is_idle() const noexcept { return running_ == 0 && waiters_.empty(); }

private:
    enum class waiter_state : std::uint8_t { queued, started, refused };

    struct waiter {
        waiter_state state_ = waiter_state::queued;
        std::optional<backends::queue_refusal> refusal_;
        http::wait_signal changed_;
    };

    static admission to_admission(const backends::queue_refusal& refused) {
        return admission{std::nullopt, refusal{refused->reason_, refused->retry_after_}};
    }

    static base::error closed_error() {
        return base::error{base::error_kind::shutting_down, "the daemon has closed the database group"};
    }

    void finish(std::uint64_t id) noexcept {
        queue_.finish(id, clock_.now());
        --running_;
        start_admitted();
    }

    void start_admitted() {
        const auto free = slots_ > running_ ? slots_ - running_ : 0;
        if (free == 0) {
            return;
        }
        for (const auto id : queue_.next(clock_.now(), free)) {
            ++running_;
            resolve_waiter(id, waiter_state::started, std::nullopt);
        }
    }

    void refuse(const backends::queue_refusal& refused) {
        resolve_waiter(refused->id_, waiter_state::refused, refused);
    }

    void resolve_waiter(std::uint64_t id, waiter_state state,
                        std::optional<backends::queue_refusal> refused) {
        const auto found = waiters_.find(id);
        if (found == waiters_.end()) {
            return;
        }
        found->second->state_ = state;
        found->second->refusal_ = std::move(refused);
        found->second->changed_.notify_all();
    }

    void start_expiry() {
        if (!std::exchange(is_expiry_running_, true)) {
            boost::asio::co_spawn(executor_, expire_while_queued(this->shared_from_this()),
                                  boost::asio::detached);
        }
    }

    // Runs only while requests wait, so that an idle group uses no CPU time.
    static boost::asio::awaitable<void> expire_while_queued(std::shared_ptr<admission_controller> self) {
        while (!self->waiters_.empty()) {
            co_await http::sleep_for(expiry_interval);
            self->start_admitted();
            for (const auto& refused : self->queue_.expire(self->clock_.now())) {
                self->refuse(refused);
            }
        }
        self->is_expiry_running_ = false;
    }

    // The queue requires a call at least every 50 ms.
    static constexpr base::clock::duration expiry_interval{20};

    boost::asio::any_io_executor executor_;
    Queue queue_;
    Clock clock_;
    std::uint32_t slots_ = 0;
    std::uint32_t running_ = 0;
    std::uint64_t last_id_ = 0;
    std::map<std::uint64_t, waiter*> waiters_;
    bool is_expiry_running_ = false;
    bool stopped_ = false;
};

} // namespace proxy
