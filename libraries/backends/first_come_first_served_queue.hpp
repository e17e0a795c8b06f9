#pragma once

#include <backends/offer_result.hpp>
#include <backends/queue_item.hpp>
#include <backends/queue_load.hpp>
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

/// A bounded FIFO queue without ranks and tenants, the baseline for measurements of `admission_queue`.
/// Complexity: amortised O(1) for each item. Thread safety: owned by one thread.
class first_come_first_served_queue {
public:
    explicit first_come_first_served_queue(const operators::service_declaration& declaration);

    /// Queues an item unless the queue is full. Error in the refusal: `overloaded`.
    [[nodiscard]] offer_result offer(const queue_item& item, base::clock::time_point now);
    /// Returns the items to start now, in order of arrival.
    [[nodiscard]] std::vector<std::uint64_t> next(base::clock::time_point now, std::uint32_t free_slots);
    /// Records that a running item has ended.
    void finish(std::uint64_t id, base::clock::time_point now);
    /// Returns the items whose deadline had passed when they reached the front of the queue.
    [[nodiscard]] std::vector<queue_refusal> expire(base::clock::time_point now);
    /// Removes a queued item. Returns false if no item with this id is queued.
    bool withdraw(std::uint64_t id);
    /// Returns the number of queued and running items, without figures by rank.
    [[nodiscard]] queue_load load() const;

private:
    void drop_expired_front(base::clock::time_point now);

    std::uint64_t max_items_;
    std::uint64_t max_bytes_;
    /// Ids in order of arrival. Withdrawn ids remain until they reach the front.
    std::deque<std::uint64_t> order_;
    std::unordered_map<std::uint64_t, queue_item> waiting_;
    std::unordered_set<std::uint64_t> running_;
    std::uint64_t bytes_ = 0;
    std::vector<queue_refusal> expired_;
};

static_assert(request_queue<first_come_first_served_queue>);

} // namespace backends
