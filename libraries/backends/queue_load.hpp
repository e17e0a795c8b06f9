#pragma once

#include <base/clock.hpp>
#include <base/immutable.hpp>

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace backends {

/// The number of queued and running items of one rank.
struct rank_load {
    std::string rank_;
    std::uint64_t queued_ = 0;
    std::uint64_t running_ = 0;
    /// Estimated time until a new item of the rank would start.
    base::clock::duration expected_wait_{0};

    friend auto operator<=>(const rank_load&, const rank_load&) = default;
};

/// The number of queued and running items of a queue, for back-pressure and metrics.
struct queue_load_fields {
    std::uint64_t queued_ = 0;
    std::uint64_t running_ = 0;
    std::uint64_t bytes_ = 0;
    /// In the order of the service's declaration, from most to least urgent.
    std::vector<rank_load> ranks_;

    friend auto operator<=>(const queue_load_fields&, const queue_load_fields&) = default;
    friend bool operator==(const queue_load_fields&, const queue_load_fields&) = default;
};

using queue_load = base::immutable<queue_load_fields>;

} // namespace backends
