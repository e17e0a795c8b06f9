#include <platform/reconnect_backoff.hpp>

#include <algorithm>
#include <limits>

namespace platform {

namespace {

// Returns a duration from zero to `most`, both included.
base::clock::duration random_part(base::clock::duration most, std::uint64_t random) noexcept {
    const auto parts = static_cast<std::uint64_t>(std::max<base::clock::rep>(most.count(), 0)) + 1;
    return base::clock::duration{static_cast<base::clock::rep>(random % parts)};
}

base::clock::duration bound_after(const backoff_limits& limits, std::uint32_t failures) noexcept {
    auto bound = std::min(limits.first_, limits.longest_);
    for (std::uint32_t count = 1; count < failures && bound < limits.longest_; ++count) {
        bound = std::min(bound * 2, limits.longest_);
    }
    return bound;
}

} // namespace

reconnect_backoff reconnect_backoff::after_failure(std::uint64_t random) const noexcept {
    auto next = *this;
    if (next.failures_ < std::numeric_limits<std::uint32_t>::max()) {
        ++next.failures_;
    }
    const auto bound = bound_after(limits_, next.failures_);
    next.delay_ = bound - random_part(bound / 2, random);
    return next;
}

reconnect_backoff reconnect_backoff::after_refusal(base::clock::duration asked,
                                                   std::uint64_t random) const noexcept {
    auto next = after_failure(random);
    const auto least = std::min(asked, limits_.longest_ * 3);
    next.delay_ = std::max(next.delay_, least + random_part(least / 4, random));
    return next;
}

reconnect_backoff reconnect_backoff::after_success() const noexcept {
    return reconnect_backoff{limits_};
}

} // namespace platform
