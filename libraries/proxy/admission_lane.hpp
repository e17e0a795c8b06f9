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

/// The slots of one kind of database of a group, and the queue of requests that wait for one.
///
/// A request suspends in `admit` until the queue starts it and holds its slot until its ticket is destroyed.
/// Thread safety: used by the owner thread of the group only. Lifetime: held by a `std::shared_ptr`; tickets
/// and the expiry coroutine keep it alive.
template <backends::request_queue Queue, base::time_source Clock>
class admission_lane : public std::enable_shared_from_this<admission_lane<Queue, Clock>> {
public:
    /// A slot that is held until destruction.
    class ticket {
    public:
        ticket(std::shared_ptr<admission_lane> lane, std::uint64_t id) : lane_{std::move(lane)}, id_{id} {}
        ~ticket() { release(); }
        ticket(ticket&& other) noexcept : lane_{std::move(other.lane_)}, id_{other.id_} {}
        ticket& operator=(ticket&& other) noexcept {
            if (this != &other) {
                release();
                lane_ = std::move(other.lane_);
                id_ = other.id_;
            }
            return *this;
        }
        ticket(const ticket&) = delete;
        ticket& operator=(const ticket&) = delete;

        /// Gives the slot back early.
        void release() noexcept {
            if (lane_) {
                std::exchange(lane_, nullptr)->finish(id_);
            }
        }

    private:
        std::shared_ptr<admission_lane> lane_;
        std::uint64_t id_;
    };

    /// A request that was not admitted and provably did not run.
    struct refusal {
        base::error reason_;
        base::clock::duration retry_after_{0};
    };

    /// What `admit` brings: a ticket, or the refusal.
    struct admission {
        std::optional<ticket> ticket_;
        std::optional<refusal> refusal_;
    };

    admission_lane(boost::asio::any_io_executor executor, const operators::service_declaration& declaration,
                   Clock clock)
        : executor_{std::move(executor)}, queue_{declaration}, clock_{std::move(clock)} {}

    /// Waits for a slot. `item` needs no id. Returns at the latest at the item's deadline.
    [[nodiscard]] boost::asio::awaitable<admission> admit(backends::queue_item item) {
        const auto self = this->shared_from_this();
        if (stopped_) {
            co_return admission{std::nullopt, refusal{closed_error()}};
        }
        const auto id = ++last_id_;
        waiter waiting;
        const auto identified = item.with([id](auto& fields) { fields.id_ = id; });
        const auto offer = queue_.offer(identified, clock_.now());
        for (const auto& displaced : offer->displaced_) {
            refuse(displaced);
        }
        if (offer->refused_) {
            co_return to_admission(*offer->refused_);
        }
        waiters_.emplace(id, &waiting);
        start_expiry();
        start_admitted();
        while (waiting.state_ == waiter_state::queued && clock_.now() < item->deadline_) {
            co_await waiting.changed_.wait_for(item->deadline_ - clock_.now());
        }
        waiters_.erase(id);
        if (waiting.state_ == waiter_state::started) {
            co_return admission{ticket{self, id}, std::nullopt};
        }
        if (waiting.state_ == waiter_state::queued) {
            queue_.withdraw(id);
            base::error late{base::error_kind::deadline_expired, "the deadline passed in the queue"};
            co_return admission{std::nullopt, refusal{std::move(late)}};
        }
        co_return to_admission(*waiting.refusal_);
    }

    /// Sets how many requests may run at the same time; 0 while no database can take any.
    void set_slots(std::uint32_t slots) {
        slots_ = slots;
        start_admitted();
    }

    /// Refuses the requests that wait for a slot and all that come later. Those that hold a slot keep it.
    void stop() {
        stopped_ = true;
        for (const auto& [id, waiting] : waiters_) {
            if (waiting->state_ == waiter_state::queued) {
                queue_.withdraw(id);
                waiting->refusal_ = backends::queue_refusal_fields{.id_ = id, .reason_ = closed_error()};
                waiting->state_ = waiter_state::refused;
                waiting->changed_.notify_all();
            }
        }
    }

    /// Returns how many requests hold a slot.
    [[nodiscard]] std::uint32_t running() const noexcept { return running_; }
    /// Returns how much is queued, for back-pressure and metrics.
    [[nodiscard]] backends::queue_load load() const { return queue_.load(); }
    /// Returns whether nothing waits and nothing runs.
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
        return base::error{base::error_kind::shutting_down, "the home of the database group was closed"};
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
            settle_waiter(id, waiter_state::started, std::nullopt);
        }
    }

    void refuse(const backends::queue_refusal& refused) {
        settle_waiter(refused->id_, waiter_state::refused, refused);
    }

    void settle_waiter(std::uint64_t id, waiter_state state, std::optional<backends::queue_refusal> refused) {
        const auto found = waiters_.find(id);
        if (found == waiters_.end()) {
            return;
        }
        found->second->state_ = state;
        found->second->refusal_ = std::move(refused);
        found->second->changed_.notify_all();
    }

    void start_expiry() {
        if (!std::exchange(expiry_runs_, true)) {
            boost::asio::co_spawn(executor_, expire_while_queued(this->shared_from_this()),
                                  boost::asio::detached);
        }
    }

    // Runs only while requests wait, so that an idle group costs nothing.
    static boost::asio::awaitable<void> expire_while_queued(std::shared_ptr<admission_lane> self) {
        while (!self->waiters_.empty()) {
            co_await http::sleep_for(expiry_period);
            self->start_admitted();
            for (const auto& refused : self->queue_.expire(self->clock_.now())) {
                self->refuse(refused);
            }
        }
        self->expiry_runs_ = false;
    }

    // The queue asks for a call at least every 50 ms.
    static constexpr base::clock::duration expiry_period{20};

    boost::asio::any_io_executor executor_;
    Queue queue_;
    Clock clock_;
    std::uint32_t slots_ = 0;
    std::uint32_t running_ = 0;
    std::uint64_t last_id_ = 0;
    std::map<std::uint64_t, waiter*> waiters_;
    bool expiry_runs_ = false;
    bool stopped_ = false;
};

} // namespace proxy
