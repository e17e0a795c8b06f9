#pragma once

#include <backends/queue_item.hpp>
#include <backends/queue_load.hpp>
#include <backends/queue_offer.hpp>
#include <backends/queue_refusal.hpp>
#include <backends/request_queue.hpp>
#include <base/clock.hpp>
#include <operators/service_declaration.hpp>

#include <cstdint>
#include <memory>
#include <vector>

namespace backends {

/// The queue of one database group, or of a part of its slots: by rank, and by tenant within a rank.
///
/// Order. The most urgent rank goes first as long as it uses no more than what the least shares of the other
/// ranks leave. Beyond that, a waiting rank that is behind its least share goes first, the one that is
/// furthest behind before the others. What no share claims goes to the most urgent rank and then to the
/// others by weight. Shares and weights are counted in slot time: the estimated time of a statement is
/// charged when it starts and corrected to the real time while it runs and when it finishes.
///
/// Guarantee. Over any interval of length T in which a rank with least share p has work waiting, it gets at
/// least p * slots * (T - `urgent_burst` - (ranks + 1) * C) - (slots + 1) * C of slot time, where C is the
/// longest statement. The same part of the room in the queue is kept for each rank, so that a flood cannot
/// keep the others from waiting.
///
/// Complexity. With R ranks and S running statements every operation takes O(R + S) time plus amortised O(1)
/// for each item that it queues, starts or gives up; nothing depends on the number of waiting items.
/// Deadlines are kept in a timing wheel, which looks at an item again for every 4 s that it waits.
///
/// Thread safety: owned by one thread. Time is passed in and must not go back.
class admission_queue {
public:
    /// The time for which the most urgent rank may use all that the other ranks' least shares leave at once
    /// after it was idle.
    static constexpr base::clock::duration urgent_burst{50};

    /// Precondition: the declaration lists at least one rank and its least shares add up to at most 100.
    explicit admission_queue(const operators::service_declaration& declaration);
    ~admission_queue();
    admission_queue(admission_queue&&) noexcept;
    admission_queue& operator=(admission_queue&&) noexcept;
    admission_queue(const admission_queue&) = delete;
    admission_queue& operator=(const admission_queue&) = delete;

    /// Queues an item or refuses it. Precondition: no queued or running item has its id.
    /// Errors in the refusal: `unknown_rank`, `too_large`, `deadline_expired`, `overloaded`.
    [[nodiscard]] queue_offer offer(const queue_item& item, base::clock::time_point now);

    /// Returns the items to start now, at most `free_slots`. They count as running until `finish`.
    [[nodiscard]] std::vector<std::uint64_t> next(base::clock::time_point now, std::uint32_t free_slots);

    /// Notes that a running item has ended, however it ended. Does nothing for an unknown id.
    void finish(std::uint64_t id, base::clock::time_point now);

    /// Returns the items given up since the last call because their deadline can no longer be met.
    [[nodiscard]] std::vector<queue_refusal> expire(base::clock::time_point now);

    /// Removes a queued item. Returns false when no item with this id is queued.
    bool withdraw(std::uint64_t id);

    /// Returns how much is queued and running.
    [[nodiscard]] queue_load load() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

static_assert(request_queue<admission_queue>);

} // namespace backends
