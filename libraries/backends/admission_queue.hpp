#pragma once

#include <backends/offer_result.hpp>
#include <backends/queue_item.hpp>
#include <backends/queue_load.hpp>
#include <backends/queue_refusal.hpp>
#include <backends/request_queue.hpp>
#include <base/clock.hpp>
#include <operators/service_declaration.hpp>

#include <cstdint>
#include <memory>
#include <vector>

namespace backends {

/// Schedules the requests that wait for the slots of one database group, or for a part of these slots, by
/// rank and, within a rank, round-robin over the tenants.
///
/// Order: the most urgent rank is served first as long as it stays within the capacity that the least shares
/// of the other ranks leave. After that, the ranks with waiting items that are behind their least share are
/// served, the one furthest behind first. Surplus capacity goes to the most urgent rank, then to the other
/// ranks by weight. Shares and weights are measured in slot time: starting a statement charges its estimated
/// duration, which is corrected to the actual duration while the statement runs and when it finishes.
///
/// Guarantee: over any interval of length T in which a rank with least share p always has items waiting, the
/// rank receives at least p * slots * (T - `urgent_burst` - (ranks + 1) * C) - (slots + 1) * C of slot time,
/// where C is the duration of the longest statement. The same fraction of the queue's capacity is reserved
/// for each rank, so that a flood of one rank cannot keep requests of the others out of the queue.
///
/// Complexity: with R ranks and S running statements, every operation takes O(R + S) time plus amortised O(1)
/// for each item that it queues, starts or removes, independent of the number of waiting items. Deadlines are
/// kept in a timing wheel, which visits a waiting item once in about 4 s.
///
/// Thread safety: owned by one thread. The times passed in must be monotonic.
class admission_queue {
public:
    /// How much unused slot time the most urgent rank may accumulate while it is idle, as the time over which
    /// its share produces that amount.
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
    [[nodiscard]] offer_result offer(const queue_item& item, base::clock::time_point now);

    /// Returns the items to start now, at most `free_slots`. Each counts as running until `finish` is called
    /// for it.
    [[nodiscard]] std::vector<std::uint64_t> next(base::clock::time_point now, std::uint32_t free_slots);

    /// Records that a running item has ended, with whatever result. Does nothing for an unknown id.
    void finish(std::uint64_t id, base::clock::time_point now);

    /// Returns the items removed since the last call because their deadline can no longer be met.
    [[nodiscard]] std::vector<queue_refusal> expire(base::clock::time_point now);

    /// Removes a queued item. Returns false if no item with this id is queued.
    bool withdraw(std::uint64_t id);

    /// Returns the number of queued and running items, in total and by rank.
    [[nodiscard]] queue_load load() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

static_assert(request_queue<admission_queue>);

} // namespace backends
