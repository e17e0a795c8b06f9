#include <backends/acknowledgement_gate.hpp>

namespace backends {

namespace {

std::optional<gate_result> decide(const waiting_answer& answer, const group_view& view,
                                  base::clock::time_point now) {
    if (view.is_committed(answer.position_)) {
        return gate_result::released;
    }
    if (answer.position_.term() < view.term()) {
        return gate_result::term_changed;
    }
    if (answer.deadline_ <= now) {
        return gate_result::timed_out;
    }
    return std::nullopt;
}

} // namespace

acknowledgement_gate acknowledgement_gate::record_response(waiting_answer answer) const {
    acknowledgement_gate changed = *this;
    changed.waiting_.push_back(answer);
    return changed;
}

acknowledgement_gate acknowledgement_gate::without_answer(std::uint64_t id) const {
    acknowledgement_gate changed = *this;
    std::erase_if(changed.waiting_, [id](const waiting_answer& answer) { return answer.id_ == id; });
    return changed;
}

std::optional<base::log_position>
acknowledgement_gate::min_pending_position(std::uint64_t term, base::log_position held) const noexcept {
    std::optional<base::log_position> least;
    for (const auto& answer : waiting_) {
        const bool is_beyond = answer.position_.term() == term && answer.position_ > held;
        if (is_beyond && (!least || answer.position_ < *least)) {
            least = answer.position_;
        }
    }
    return least;
}

acknowledgement_gate::step acknowledgement_gate::advance(const group_view& view,
                                                         base::clock::time_point now) const {
    step next;
    for (const auto& answer : waiting_) {
        if (const auto result = decide(answer, view, now)) {
            next.decisions_.push_back({.id_ = answer.id_, .result_ = *result});
        } else {
            next.gate_.waiting_.push_back(answer);
        }
    }
    return next;
}

} // namespace backends
