#pragma once

#include <backends/queue_refusal.hpp>
#include <base/immutable.hpp>

#include <compare>
#include <optional>
#include <vector>

namespace backends {

/// The result of offering an item to a queue: whether it was refused, and which items it displaced.
struct offer_result_fields {
    /// Empty if the item was queued.
    std::optional<queue_refusal> refused_;
    /// Queued items that were removed to make room. The caller reports each of them as not run.
    std::vector<queue_refusal> displaced_;

    friend auto operator<=>(const offer_result_fields&, const offer_result_fields&) = default;
    friend bool operator==(const offer_result_fields&, const offer_result_fields&) = default;
};

using offer_result = base::immutable<offer_result_fields>;

} // namespace backends
