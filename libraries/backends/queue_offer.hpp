#pragma once

#include <backends/queue_refusal.hpp>
#include <base/immutable.hpp>

#include <compare>
#include <optional>
#include <vector>

namespace backends {

/// What became of an offered item, and of others because of it.
struct queue_offer_fields {
    /// Empty when the item was queued.
    std::optional<queue_refusal> refused_;
    /// Items that were queued before and had to make room. The caller answers each of them as not run.
    std::vector<queue_refusal> displaced_;

    friend auto operator<=>(const queue_offer_fields&, const queue_offer_fields&) = default;
    friend bool operator==(const queue_offer_fields&, const queue_offer_fields&) = default;
};

using queue_offer = base::immutable<queue_offer_fields>;

} // namespace backends
