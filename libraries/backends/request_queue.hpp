#pragma once

#include <backends/offer_result.hpp>
#include <backends/queue_item.hpp>
#include <backends/queue_load.hpp>
#include <backends/queue_refusal.hpp>
#include <base/clock.hpp>
#include <operators/service_declaration.hpp>

#include <concepts>
#include <cstdint>
#include <vector>

namespace backends {

/// A scheduler that decides in which order requests get the slots of a database group. The code that runs
/// statements is a template over it.
///
/// `offer` queues or refuses an item. `next` returns the ids of the items to start now, at most as many as
/// there are free slots; each must be reported with `finish` when its slot is free again. `expire` returns
/// the items removed since its last call because their deadline can no longer be met; it must be called after
/// `next` and at least every 50 ms. `withdraw` removes a queued item whose caller has disconnected. `load`
/// returns the number of queued and running items. Every item leaves the queue exactly once: started,
/// refused, displaced, expired or withdrawn.
template <typename Queue>
concept request_queue = std::constructible_from<Queue, const operators::service_declaration&> &&
    requires(Queue& queue, const Queue& constant, const queue_item& item, std::uint64_t id,
             base::clock::time_point now, std::uint32_t free_slots) {
    { queue.offer(item, now) } -> std::same_as<offer_result>;
    { queue.next(now, free_slots) } -> std::same_as<std::vector<std::uint64_t>>;
    { queue.finish(id, now) } -> std::same_as<void>;
    { queue.expire(now) } -> std::same_as<std::vector<queue_refusal>>;
    { queue.withdraw(id) } -> std::same_as<bool>;
    { constant.load() } -> std::same_as<queue_load>;
};

} // namespace backends
