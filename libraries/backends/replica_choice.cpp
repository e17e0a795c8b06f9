#include <backends/replica_choice.hpp>

#include <algorithm>
#include <vector>

namespace backends {

namespace {

bool has_free_slot(const replica_candidate& candidate) {
    return candidate->in_use_ < candidate->slots_;
}

/// Compares the parts of the slots in use without division.
bool is_less_loaded(const replica_candidate& one, const replica_candidate& other) {
    return std::uint64_t{one->in_use_} * other->slots_ < std::uint64_t{other->in_use_} * one->slots_;
}

} // namespace

bool may_serve(const replica_candidate& candidate, const read_requirements& need,
               base::clock::time_point now) {
    if (!candidate->is_reachable_ || candidate->is_leaving_ || !candidate->lag_) {
        return false;
    }
    const auto age = *candidate->lag_ + (now - candidate->measured_at_);
    return need->staleness_ > base::clock::duration{0} && age <= need->staleness_ &&
           candidate->last_.term() == need->term_ && candidate->last_ >= need->minimum_;
}

replica_choice choose_replica(std::span<const replica_candidate> candidates, const read_requirements& need,
                              base::clock::time_point now, std::uint64_t random) {
    if (need->staleness_ <= base::clock::duration{0}) {
        return {};
    }
    std::vector<const replica_candidate*> least_loaded;
    for (const auto& candidate : candidates) {
        if (!has_free_slot(candidate) || !may_serve(candidate, need, now)) {
            continue;
        }
        if (!least_loaded.empty() && is_less_loaded(candidate, *least_loaded.front())) {
            least_loaded.clear();
        }
        if (least_loaded.empty() || !is_less_loaded(*least_loaded.front(), candidate)) {
            least_loaded.push_back(&candidate);
        }
    }
    if (!least_loaded.empty()) {
        const auto& chosen = *least_loaded[random % least_loaded.size()];
        return replica_choice_fields{.target_ = read_target::replica, .name_ = chosen->name_, .wait_ = {}};
    }
    // Any reachable replica may catch up or get a free slot while the read waits.
    const bool may_change = std::any_of(candidates.begin(), candidates.end(), [](const auto& candidate) {
        return candidate->is_reachable_ && !candidate->is_leaving_ && candidate->slots_ > 0;
    });
    if (may_change && need->wait_left_ > base::clock::duration{0}) {
        return replica_choice_fields{.target_ = read_target::wait, .name_ = {}, .wait_ = need->wait_left_};
    }
    return {};
}

} // namespace backends
