#include <backends/promotion_choice.hpp>

#include <algorithm>
#include <cstddef>
#include <limits>
#include <optional>

namespace backends {

namespace {

// A promotion takes about 1 s; 3 s also covers a platform that is slow to start it.
constexpr base::clock::duration max_promotion_duration{3'000};
constexpr std::uint32_t max_ineffective_requests = 2;

/// Returns whether a candidate has received more than another one, or as much and stays longer.
bool is_preferred(const promotion_candidate& candidate, const promotion_candidate& other) {
    const auto& received = candidate.report_.received_;
    const auto& other_received = other.report_.received_;
    return received > other_received ||
           (received == other_received && !candidate.is_draining_ && other.is_draining_);
}

} // namespace

bool may_be_replaced_primary(const promotion_state& state, const promotion_candidate& candidate) {
    if (candidate.report_.role_ != listed_role::primary) {
        return false;
    }
    return state.target_ ? candidate.id_ != *state.target_ : candidate.report_.term_ < state.primary_term_;
}

std::optional<promotion_candidate> find_leading(const std::vector<promotion_candidate>& reports,
                                                std::uint64_t known_term) {
    const auto has_earlier_term = [](const auto& first, const auto& second) {
        return first.report_.term_ < second.report_.term_;
    };
    const auto latest = std::max_element(reports.begin(), reports.end(), has_earlier_term);
    constexpr auto unknown = std::numeric_limits<std::uint64_t>::max();
    if (latest == reports.end() || (known_term != unknown && latest->report_.term_ < known_term)) {
        return std::nullopt;
    }
    std::optional<promotion_candidate> leading;
    for (const auto& one : reports) {
        if (one.report_.role_ == listed_role::primary && one.report_.term_ == latest->report_.term_) {
            if (leading) {
                return std::nullopt;
            }
            leading = one;
        }
    }
    return leading;
}

bool is_refusal_final(std::optional<base::clock::duration> since_earlier_request) noexcept {
    return !since_earlier_request || *since_earlier_request > max_promotion_duration;
}

bool is_promotion_futile(std::uint32_t ineffective_requests) noexcept {
    return ineffective_requests >= max_ineffective_requests;
}

bool may_lack_acknowledged_commits(const promotion_state& state, const promotion_candidate& candidate) {
    const bool is_complete = state.final_position_ && state.is_final_position_complete_ &&
                             candidate.report_.received_ >= *state.final_position_;
    if (is_complete) {
        return false;
    }
    if (state.sync_replicas_ == 0) {
        return state.may_wait_for_reports_ && (!state.missing_.empty() || state.is_final_position_missing_);
    }
    const auto has_more = [&](const auto& other) {
        return state.refused_.contains(other.id_) && other.report_.received_ > candidate.report_.received_;
    };
    const auto refused = std::count_if(state.candidates_.begin(), state.candidates_.end(), has_more);
    return state.missing_.size() + static_cast<std::size_t>(refused) >= state.sync_replicas_;
}

promotion_choice choose_promotion(const promotion_state& state) {
    if (state.target_ && !state.is_target_refused_) {
        const auto step = state.is_target_leading_ ? promotion_step::complete : promotion_step::request;
        return {step, *state.target_};
    }
    const promotion_candidate* best = nullptr;
    auto wanted_position = state.final_position_;
    for (const auto& candidate : state.candidates_) {
        if (may_be_replaced_primary(state, candidate)) {
            // It may also be the primary, with writes that the replicas are about to receive.
            wanted_position = std::max(wanted_position, std::optional{candidate.report_.received_});
            continue;
        }
        const bool is_eligible = !state.refused_.contains(candidate.id_) &&
                                 !state.futile_.contains(candidate.id_) &&
                                 (!candidate.is_draining_ || state.sync_replicas_ > 0);
        if (is_eligible && (best == nullptr || is_preferred(candidate, *best))) {
            best = &candidate;
        }
    }
    if (best == nullptr || may_lack_acknowledged_commits(state, *best)) {
        return state.returned_primary_
                   ? promotion_choice{promotion_step::request, state.returned_primary_->id_}
                   : promotion_choice{};
    }
    const bool is_behind = wanted_position && best->report_.received_ < *wanted_position;
    // Another candidate may be about to reach the position of a draining one.
    if ((is_behind || best->is_draining_) && state.may_wait_) {
        return {};
    }
    return {promotion_step::request, best->id_};
}

} // namespace backends
