#include <backends/acknowledgement_gate.hpp>

namespace backends {

namespace {

std::optional<gate_result> decide(const waiting_response& response, const group_view& view,
                                  base::clock::time_point now) {
    if (view.is_committed(response.position_)) {
        return gate_result::released;
    }
    if (response.position_.term() < view.term()) {
        return gate_result::term_changed;
    }
    if (response.deadline_ <= now) {
        return gate_result::timed_out;
    }
    return std::nullopt;
}

} // namespace

acknowledgement_gate acknowledgement_gate::record_response(waiting_response response) const {
    acknowledgement_gate changed = *this;
    changed.waiting_.push_back(response);
    return changed;
}

acknowledgement_gate acknowledgement_gate::without_response(std::uint64_t id) const {
    acknowledgement_gate changed = *this;
    std::erase_if(changed.waiting_, [id](const waiting_response& response) { return response.id_ == id; });
    return changed;
}

std::optional<base::log_position>
acknowledgement_gate::min_pending_position(std::uint64_t term, base::log_position held) const noexcept {
    std::optional<base::log_position> least;
    for (const auto& response : waiting_) {
        const bool is_beyond = response.position_.term() == term && response.position_ > held;
        if (is_beyond && (!least || response.position_ < *least)) {
            least = response.position_;
        }
    }
    return least;
}

acknowledgement_gate::step acknowledgement_gate::advance(const group_view& view,
                                                         base::clock::time_point now) const {
    step next;
    for (const auto& response : waiting_) {
        if (const auto result = decide(response, view, now)) {
            next.decisions_.push_back({.id_ = response.id_, .result_ = *result});
        } else {
            next.gate_.waiting_.push_back(response);
        }
    }
    return next;
}

} // namespace backends
