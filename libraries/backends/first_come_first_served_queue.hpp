#pragma once

#include <backends/queue_item.hpp>
#include <backends/queue_load.hpp>
#include <backends/queue_offer.hpp>
#include <backends/queue_refusal.hpp>
#include <backends/request_queue.hpp>
#include <base/clock.hpp>
#include <operators/service_declaration.hpp>

#include <cstdint>
#include <deque>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace backends {

/// A plain bounded queue without ranks and tenants: the baseline that measurements of `admission_queue` are
/// compared with. Complexity: amortised O(1) for each item. Thread safety: owned by one thread.
class first_come_first_served_queue {
public:
    explicit first_come_first_served_queue(const operators::service_declaration& declaration);

    /// Queues an item unless the queue is full. Errors in the refusal: `overloaded`.
    [[nodiscard]] queue_offer offer(const queue_item& item, base::clock::time_point now);
    /// Returns the items to start now, in the order of their arrival.
    [[nodiscard]] std::vector<std::uint64_t> next(base::clock::time_point now, std::uint32_t free_slots);
    /// Notes that a running item has ended.
    void finish(std::uint64_t id, base::clock::time_point now);
    /// Returns the items whose deadline had passed when they came to the front.
    [[nodiscard]] std::vector<queue_refusal> expire(base::clock::time_point now);
    /// Removes a queued item. Returns false when no item with this id is queued.
    bool withdraw(std::uint64_t id);
    /// Returns how much is queued and running; without ranks.
    [[nodiscard]] queue_load load() const;

private:
    void drop_front_if_late(base::clock::time_point now);

    std::uint64_t most_items_;
    std::uint64_t most_bytes_;
    /// Ids in the order of arrival; withdrawn ones stay until they come to the front.
    std::deque<std::uint64_t> order_;
    std::unordered_map<std::uint64_t, queue_item> waiting_;
    std::unordered_set<std::uint64_t> running_;
    std::uint64_t bytes_ = 0;
    std::vector<queue_refusal> expired_;
};

static_assert(request_queue<first_come_first_served_queue>);

} // namespace backends
