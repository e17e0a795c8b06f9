#pragma once

#include <base/clock.hpp>
#include <base/immutable.hpp>

#include <compare>
#include <cstdint>
#include <string>

namespace backends {

/// The properties of a request that decide about its place in a queue. The caller of the queue keeps the
/// request itself.
struct queue_item_fields {
    /// Unique among the items that are queued or running in one queue.
    std::uint64_t id_ = 0;
    std::string rank_;
    std::string tenant_;
    /// Size of the statements, counted against the queue's capacity.
    std::uint64_t bytes_ = 0;
    base::clock::time_point deadline_{};

    friend auto operator<=>(const queue_item_fields&, const queue_item_fields&) = default;
    friend bool operator==(const queue_item_fields&, const queue_item_fields&) = default;
};

using queue_item = base::immutable<queue_item_fields>;

} // namespace backends
