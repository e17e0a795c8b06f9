#include <backends/acknowledgement_gate.hpp>

namespace backends {

namespace {

std::optional<gate_result> decide(const pending_response& response, const group_view& view,
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

acknowledgement_gate acknowledgement_gate::record_response(pending_response response) const {
    acknowledgement_gate result = *this;
    result.pending_.push_back(response);
    return result;
}

acknowledgement_gate acknowledgement_gate::remove_response(std::uint64_t id) const {
    acknowledgement_gate result = *this;
    std::erase_if(result.pending_, [id](const pending_response& response) { return response.id_ == id; });
    return result;
}

std::optional<base::log_position>
acknowledgement_gate::min_pending_position(std::uint64_t term, base::log_position known) const noexcept {
    std::optional<base::log_position> smallest;
    for (const auto& response : pending_) {
        const bool is_beyond = response.position_.term() == term && response.position_ > known;
        if (is_beyond && (!smallest || response.position_ < *smallest)) {
            smallest = response.position_;
        }
    }
    return smallest;
}

acknowledgement_gate::step acknowledgement_gate::advance(const group_view& view,
                                                         base::clock::time_point now) const {
    step next;
    for (const auto& response : pending_) {
        if (const auto result = decide(response, view, now)) {
            next.decisions_.push_back({.id_ = response.id_, .result_ = *result});
        } else {
            next.gate_.pending_.push_back(response);
        }
    }
    return next;
}

} // namespace backends
