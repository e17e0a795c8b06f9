#include <backends/retry_budget.hpp>

#include <algorithm>

namespace backends {

using base::clock;

void retry_budget::advance_to(clock::time_point now) {
    const std::int64_t latest = now.time_since_epoch() / bucket_length;
    const auto size = static_cast<std::int64_t>(buckets_.size());
    for (auto index = std::max(current_ + 1, latest - size + 1); index <= latest; ++index) {
        buckets_.at(static_cast<std::size_t>(index % size)) = bucket{};
    }
    current_ = std::max(current_, latest);
}

void retry_budget::note_attempt(clock::time_point now) {
    advance_to(now);
    ++buckets_.at(static_cast<std::size_t>(current_) % buckets_.size()).attempts_;
}

bool retry_budget::take_retry(clock::time_point now) {
    advance_to(now);
    const auto oldest = static_cast<std::size_t>(current_ + 1) % buckets_.size();
    std::uint64_t attempts = 0;
    std::uint64_t retries = 0;
    for (std::size_t index = 0; index < buckets_.size(); ++index) {
        retries += buckets_.at(index).retries_;
        attempts += index == oldest ? 0 : buckets_.at(index).attempts_;
    }
    if (retries >= std::max(minimum_, attempts * percent_ / 100)) {
        return false;
    }
    ++buckets_.at(static_cast<std::size_t>(current_) % buckets_.size()).retries_;
    return true;
}

} // namespace backends
