#pragma once

#include <base/clock.hpp>

#include <compare>
#include <cstdint>
#include <optional>

namespace stand_ins::platform {

/// How the store behaves during an outage.
enum class outage_kind : std::uint8_t { none, closes_connections, gives_no_answer };

/// The staged faults of the platform. Thread safety: immutable value, replaced as a whole.
struct platform_faults {
    outage_kind outage_ = outage_kind::none;
    /// When the outage ends by itself; nothing: when it is healed.
    std::optional<base::clock::time_point> outage_end_;
    /// Added to the time of every answer.
    base::clock::duration delay_{0};
    /// How many more changes are applied without an answer.
    std::uint64_t answers_to_lose_ = 0;

    friend auto operator<=>(const platform_faults&, const platform_faults&) = default;

    /// Returns the outage that is in effect at `now`.
    [[nodiscard]] outage_kind outage_at(base::clock::time_point now) const noexcept {
        return outage_end_ && *outage_end_ <= now ? outage_kind::none : outage_;
    }
};

} // namespace stand_ins::platform
