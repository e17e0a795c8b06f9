#include <backends/retry_budget.hpp>

#include <algorithm>

namespace backends {

using base::clock;

void retry_budget::move_to(clock::time_point now) {
    const std::int64_t present = now.time_since_epoch() / part_length;
    const auto size = static_cast<std::int64_t>(parts_.size());
    for (auto index = std::max(current_ + 1, present - size + 1); index <= present; ++index) {
        parts_.at(static_cast<std::size_t>(index % size)) = part{};
    }
    current_ = std::max(current_, present);
}

void retry_budget::note_attempt(clock::time_point now) {
    move_to(now);
    ++parts_.at(static_cast<std::size_t>(current_) % parts_.size()).attempts_;
}

bool retry_budget::take_retry(clock::time_point now) {
    move_to(now);
    const auto oldest = static_cast<std::size_t>(current_ + 1) % parts_.size();
    std::uint64_t attempts = 0;
    std::uint64_t retries = 0;
    for (std::size_t index = 0; index < parts_.size(); ++index) {
        retries += parts_.at(index).retries_;
        attempts += index == oldest ? 0 : parts_.at(index).attempts_;
    }
    if (retries >= std::max(minimum_, attempts * percent_ / 100)) {
        return false;
    }
    ++parts_.at(static_cast<std::size_t>(current_) % parts_.size()).retries_;
    return true;
}

} // namespace backends
