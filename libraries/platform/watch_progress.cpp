#include <platform/watch_progress.hpp>

namespace platform {

watch_news watch_progress::news_in(const base::result<stored_value>& response) const noexcept {
    if (!response) {
        return watch_news::failed;
    }
    if (!response->found_) {
        return watch_news::absent;
    }
    if (response->revision_ == revision_) {
        return watch_news::none;
    }
    return response->revision_ > revision_ ? watch_news::newer : watch_news::older;
}

watch_progress watch_progress::after(const base::result<stored_value>& response,
                                     base::clock::duration elapsed, base::clock::duration wait,
                                     std::uint64_t random) const noexcept {
    auto next = *this;
    const auto news = news_in(response);
    if (news == watch_news::newer) {
        next.revision_ = response->revision_;
        next.backoff_ = backoff_.after_success();
    } else if (news == watch_news::failed || elapsed < wait / 2) {
        next.backoff_ = backoff_.after_failure(random);
    } else {
        next.backoff_ = backoff_.after_success();
    }
    return next;
}

} // namespace platform
