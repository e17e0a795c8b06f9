#pragma once

#include <base/clock.hpp>
#include <daemons/quota_message.hpp>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace daemons {

/// What a daemon has for one tenant and needs.
struct quota_demand {
    /// Operations per second that asked for a token recently.
    double arrivals_per_s_ = 0;
    /// Operations that wait for a token.
    std::uint32_t waiting_ = 0;
    /// Lent tokens that are not void yet.
    std::uint32_t lent_ = 0;
    /// Content of the daemon's own bucket, and tokens per second that fill it.
    double local_ = 0;
    double local_per_s_ = 0;

    friend auto operator<=>(const quota_demand&, const quota_demand&) = default;
};

/// The span for which a request asks for tokens: two intervals between requests, so that one may be lost.
inline constexpr base::clock::duration quota_demand_span{800};

/// Returns how many tokens a request to the leader asks for. Fractions are left out, because a tenant with
/// few operations at each daemon would lose its limit to tokens that expire. Thread safety: pure function.
[[nodiscard]] std::uint32_t wanted_tokens(const quota_demand& demand) noexcept;

/// Keeps the `max_quota_entries` entries with the highest counts, highest first.
void keep_greatest_entries(std::vector<quota_entry>& entries);

/// Returns the estimate of arrivals per second after `count` arrivals in `span`. Precondition: `span` is
/// positive. Thread safety: pure function.
[[nodiscard]] double next_arrival_rate(double rate, std::uint64_t count, base::clock::duration span) noexcept;

/// Returns the least interval between two requests that a daemon sends because an operation waits. It grows
/// with the fleet, so that the leader gets at most four of them in a millisecond. Thread safety: pure
/// function.
[[nodiscard]] base::clock::duration early_request_interval(std::size_t daemons) noexcept;

} // namespace daemons
