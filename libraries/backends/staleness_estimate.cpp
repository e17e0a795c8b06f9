#include <backends/staleness_estimate.hpp>

#include <algorithm>

namespace backends {

using base::clock;

void staleness_estimate::note_primary(base::log_position position, clock::time_point requested_at) {
    if (!records_.empty()) {
        const auto& last = records_.back();
        if (position.term() < last.position_.term()) {
            return;
        }
        if (position.term() > last.position_.term()) {
            // Entries of the old term that the new primary does not hold must not count.
            records_.clear();
        }
    }
    if (!records_.empty() && requested_at <= records_.back().time_) {
        return;
    }
    // A record with a later time and a position not beyond makes the ones before it useless.
    while (!records_.empty() && position <= records_.back().position_) {
        records_.pop_back();
    }
    records_.push_back(record{position, requested_at});
    if (records_.size() > max_records) {
        thin_out();
    }
}

void staleness_estimate::thin_out() {
    const auto half = records_.size() / 2;
    std::size_t kept = 0;
    for (std::size_t index = 0; index < records_.size(); ++index) {
        if (index >= half || index % 2 == 0) {
            records_[kept++] = records_[index];
        }
    }
    records_.resize(kept);
}

std::optional<clock::duration> staleness_estimate::max_age(base::log_position replica,
                                                           clock::time_point now) const {
    if (records_.empty() || records_.back().position_.term() != replica.term()) {
        return std::nullopt;
    }
    const auto beyond = std::upper_bound(
        records_.begin(), records_.end(), replica,
        [](const auto& position, const auto& record) { return position < record.position_; });
    if (beyond == records_.begin()) {
        return std::nullopt;
    }
    return std::max(now - std::prev(beyond)->time_, clock::duration{0});
}

} // namespace backends
