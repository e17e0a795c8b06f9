#include <backends/promotion_choice.hpp>

#include <algorithm>

namespace backends {

namespace {

// A promotion takes a second on the platforms of today; three cover one that is slow to start.
constexpr base::clock::duration longest_promotion{3'000};

} // namespace

bool is_refusal_final(std::optional<base::clock::duration> since_earlier_order) noexcept {
    return !since_earlier_order || *since_earlier_order > longest_promotion;
}

promotion_choice choose_promotion(const promotion_state& state) {
    if (state.target_ && !state.is_target_refused_) {
        const auto step = state.is_target_leading_ ? promotion_step::complete : promotion_step::request;
        return {step, *state.target_};
    }
    const promotion_candidate* best = nullptr;
    for (const auto& one : state.candidates_) {
        const bool is_better = best == nullptr || one.report_.received_ > best->report_.received_;
        if (!state.refused_.contains(one.id_) && is_better) {
            best = &one;
        }
    }
    if (best == nullptr) {
        return {};
    }
    const bool is_behind = state.final_position_ && best->report_.received_ < *state.final_position_;
    if (is_behind && state.may_wait_) {
        return {};
    }
    return {promotion_step::request, best->id_};
}

} // namespace backends
