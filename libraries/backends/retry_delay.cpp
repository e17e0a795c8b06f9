#include <backends/retry_delay.hpp>

#include <algorithm>

namespace backends {

using base::clock;

namespace {

constexpr clock::duration initial_delay{10};
constexpr clock::duration max_delay{500};
/// Enough doublings to exceed any maximum delay, without an overflow of the factor.
constexpr std::uint32_t max_doublings = 30;

} // namespace

clock::duration backoff_limit(clock::duration initial, clock::duration maximum,
                              std::uint32_t failures) noexcept {
    const auto factor = std::int64_t{1} << std::min(failures, max_doublings);
    return initial > maximum / factor ? maximum : initial * factor;
}

clock::duration draw_delay(clock::duration maximum, std::uint64_t random) noexcept {
    const auto values = static_cast<std::uint64_t>(std::max<std::int64_t>(maximum.count(), 0)) + 1;
    return clock::duration{static_cast<std::int64_t>(random % values)};
}

std::optional<clock::duration> retry_delay(std::uint32_t retry, clock::duration time_left,
                                           clock::duration reserved, std::uint64_t random) noexcept {
    const auto max_delay_left = time_left - reserved;
    if (max_delay_left < clock::duration{0}) {
        return std::nullopt;
    }
    return draw_delay(std::min(backoff_limit(initial_delay, max_delay, retry), max_delay_left), random);
}

} // namespace backends
