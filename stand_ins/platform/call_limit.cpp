#include <stand_ins/platform/call_limit.hpp>

#include <algorithm>

namespace stand_ins::platform {

namespace {

constexpr base::clock::duration usual_retry{1'000};
// Watches alone use up the limit: waiting a second does not help.
constexpr base::clock::duration long_retry{10'000};

} // namespace

bool call_limit::admit(base::clock::time_point now, std::size_t waiting) {
    refill(now, waiting);
    if (milli_calls_ < milli) {
        return false;
    }
    milli_calls_ -= milli;
    return true;
}

base::clock::duration call_limit::retry_after(std::size_t waiting) const noexcept {
    return waiting >= calls_per_second_ ? long_retry : usual_retry;
}

void call_limit::refill(base::clock::time_point now, std::size_t waiting) {
    const auto left = calls_per_second_ > waiting ? calls_per_second_ - waiting : 0;
    const auto elapsed_ms =
        static_cast<std::uint64_t>(std::max(now - updated_, base::clock::duration{0}).count());
    // Calls a second times milliseconds are thousandths of a call.
    milli_calls_ = std::min(milli_calls_ + left * elapsed_ms, left * milli);
    updated_ = std::max(updated_, now);
}

} // namespace stand_ins::platform
