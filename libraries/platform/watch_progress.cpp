#include <platform/watch_progress.hpp>

namespace platform {

watch_outcome watch_progress::classify(const base::result<stored_value>& response) const noexcept {
    if (!response) {
        return watch_outcome::failed;
    }
    if (!response->found_) {
        return watch_outcome::absent;
    }
    if (response->revision_ == revision_) {
        return watch_outcome::none;
    }
    return response->revision_ > revision_ ? watch_outcome::newer : watch_outcome::older;
}

watch_progress watch_progress::advance(const base::result<stored_value>& response,
                                       base::clock::duration elapsed, base::clock::duration wait,
                                       std::uint64_t random) const noexcept {
    auto next = *this;
    const auto outcome = classify(response);
    if (outcome == watch_outcome::newer) {
        next.revision_ = response->revision_;
        next.backoff_ = backoff_.after_success();
    } else if (outcome == watch_outcome::failed || elapsed < wait / 2) {
        next.backoff_ = backoff_.after_failure(random);
    } else {
        next.backoff_ = backoff_.after_success();
    }
    return next;
}

} // namespace platform
