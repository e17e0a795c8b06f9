#include <utilities/sassafras_load/arrival_schedule.hpp>

#include <algorithm>

namespace sassafras_load {

arrival_schedule::arrival_schedule(const std::vector<double>& rates, std::uint64_t seed) : random_{seed} {
    for (std::size_t work = 0; work < rates.size(); ++work) {
        if (rates[work] > 0) {
            streams_.push_back({.work_ = work, .rate_ = rates[work]});
            advance(streams_.back());
        }
    }
}

std::optional<arrival> arrival_schedule::next() {
    const auto first =
        std::min_element(streams_.begin(), streams_.end(), [](const stream& one, const stream& other) {
            return one.due_seconds_ < other.due_seconds_;
        });
    if (first == streams_.end()) {
        return std::nullopt;
    }
    const std::chrono::duration<double> due{first->due_seconds_};
    const arrival found{std::chrono::duration_cast<std::chrono::microseconds>(due), first->work_};
    advance(*first);
    return found;
}

void arrival_schedule::advance(stream& work) {
    work.due_seconds_ += std::exponential_distribution<double>{work.rate_}(random_);
}

} // namespace sassafras_load
