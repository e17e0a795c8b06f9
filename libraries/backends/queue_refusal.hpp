#pragma once

#include <base/clock.hpp>
#include <base/error.hpp>
#include <base/immutable.hpp>

#include <compare>
#include <cstdint>

namespace backends {

/// A request that a queue refused or removed before it was started, so that it provably did not run.
struct queue_refusal_fields {
    std::uint64_t id_ = 0;
    base::error reason_{base::error_kind::internal, ""};
    /// Estimated time until the queue has room again.
    base::clock::duration retry_after_{0};

    friend auto operator<=>(const queue_refusal_fields&, const queue_refusal_fields&) = default;
    friend bool operator==(const queue_refusal_fields&, const queue_refusal_fields&) = default;
};

using queue_refusal = base::immutable<queue_refusal_fields>;

} // namespace backends
