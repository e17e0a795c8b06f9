#include <backends/retry_delay.hpp>

#include <algorithm>

namespace backends {

using base::clock;

namespace {

constexpr clock::duration first_delay{10};
constexpr clock::duration longest_delay{500};
/// Enough doublings to pass any limit that a delay has here.
constexpr std::uint32_t most_doublings = 30;

} // namespace

clock::duration backoff_limit(clock::duration first, clock::duration longest,
                              std::uint32_t failures) noexcept {
    const auto factor = std::int64_t{1} << std::min(failures, most_doublings);
    return first > longest / factor ? longest : first * factor;
}

clock::duration draw_delay(clock::duration longest, std::uint64_t random) noexcept {
    const auto values = static_cast<std::uint64_t>(std::max<std::int64_t>(longest.count(), 0)) + 1;
    return clock::duration{static_cast<std::int64_t>(random % values)};
}

std::optional<clock::duration> retry_delay(std::uint32_t retry, clock::duration time_left,
                                           clock::duration needed, std::uint64_t random) noexcept {
    const auto latest = time_left - needed;
    if (latest < clock::duration{0}) {
        return std::nullopt;
    }
    return draw_delay(std::min(backoff_limit(first_delay, longest_delay, retry), latest), random);
}

} // namespace backends
