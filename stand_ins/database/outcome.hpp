#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace stand_ins::database {

/// What is recorded for an idempotency key. A key has at most one outcome: it was run or it was cancelled.
struct outcome {
    enum class kind : std::uint8_t { done, cancelled };

    kind kind_ = kind::done;
    std::string fingerprint_;
    std::vector<std::string> results_;
    /// The index of the entry that records it.
    std::uint64_t index_ = 0;

    friend auto operator<=>(const outcome&, const outcome&) = default;
};

} // namespace stand_ins::database
