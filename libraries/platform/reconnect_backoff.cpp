#include <platform/reconnect_backoff.hpp>

#include <algorithm>
#include <limits>

namespace platform {

namespace {

// Returns a duration from zero to `max`, both included.
base::clock::duration random_up_to(base::clock::duration max, std::uint64_t random) noexcept {
    const auto parts = static_cast<std::uint64_t>(std::max<base::clock::rep>(max.count(), 0)) + 1;
    return base::clock::duration{static_cast<base::clock::rep>(random % parts)};
}

base::clock::duration bound_after(const backoff_limits& limits, std::uint32_t failures) noexcept {
    auto bound = std::min(limits.initial_, limits.max_);
    for (std::uint32_t count = 1; count < failures && bound < limits.max_; ++count) {
        bound = std::min(bound * 2, limits.max_);
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
    next.delay_ = bound - random_up_to(bound / 2, random);
    return next;
}

reconnect_backoff reconnect_backoff::after_refusal(base::clock::duration requested,
                                                   std::uint64_t random) const noexcept {
    auto next = after_failure(random);
    const auto min = std::min(requested, limits_.max_ * 3);
    next.delay_ = std::max(next.delay_, min + random_up_to(min / 4, random));
    return next;
}

reconnect_backoff reconnect_backoff::after_success() const noexcept {
    return reconnect_backoff{limits_};
}

} // namespace platform
