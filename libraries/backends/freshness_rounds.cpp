#include <backends/freshness_rounds.hpp>

#include <algorithm>
#include <utility>

namespace backends {

namespace {

std::optional<freshness_result> end_of(const waiting_read& read, std::uint64_t current_term,
                                       base::clock::time_point now) {
    if (read.term_ < current_term) {
        return freshness_result::term_changed;
    }
    if (read.deadline_ <= now) {
        return freshness_result::timed_out;
    }
    return std::nullopt;
}

} // namespace

freshness_rounds::step freshness_rounds::add_read(waiting_read read, base::clock::time_point now) const {
    step next{.rounds_ = *this};
    next.rounds_.next_.push_back(read);
    return start_round_if_due(std::move(next), now);
}

freshness_rounds::step freshness_rounds::record_response(std::uint64_t number, std::string_view database,
                                                         std::uint64_t term,
                                                         base::clock::time_point now) const {
    step next{.rounds_ = *this};
    auto& current = next.rounds_.in_flight_;
    if (!current || current->number_ != number || current->term_ != term) {
        return next;
    }
    current->confirmed_by_.emplace(database);
    if (current->confirmed_by_.size() < majority_) {
        return next;
    }
    for (const auto& read : current->reads_) {
        next.decisions_.push_back({.id_ = read.id_, .result_ = freshness_result::confirmed});
    }
    current.reset();
    return start_round_if_due(std::move(next), now);
}

freshness_rounds::step freshness_rounds::advance(std::uint64_t current_term,
                                                 base::clock::time_point now) const {
    step next{.rounds_ = *this};
    auto& rounds = next.rounds_;
    const auto ended = [&](const waiting_read& read) {
        const auto result = end_of(read, current_term, now);
        if (result) {
            next.decisions_.push_back({.id_ = read.id_, .result_ = *result});
        }
        return result.has_value();
    };
    std::erase_if(rounds.next_, ended);
    if (rounds.in_flight_) {
        std::erase_if(rounds.in_flight_->reads_, ended);
        const bool overdue = rounds.in_flight_->sent_at_ + freshness_round_timeout <= now;
        if (overdue || rounds.in_flight_->reads_.empty()) {
            rounds.next_.insert(rounds.next_.begin(), rounds.in_flight_->reads_.begin(),
                                rounds.in_flight_->reads_.end());
            rounds.in_flight_.reset();
        }
    }
    return start_round_if_due(std::move(next), now);
}

std::optional<std::uint64_t> freshness_rounds::round_in_flight() const noexcept {
    return in_flight_ ? std::optional{in_flight_->number_} : std::nullopt;
}

freshness_rounds::step freshness_rounds::start_round_if_due(step next, base::clock::time_point now) const {
    auto& rounds = next.rounds_;
    if (rounds.in_flight_ || rounds.next_.empty()) {
        return next;
    }
    // A round confirms one term; reads of another term wait for their own round.
    const auto term =
        std::max_element(rounds.next_.begin(), rounds.next_.end(), [](const auto& one, const auto& other) {
            return one.term_ < other.term_;
        })->term_;
    round created{.number_ = ++rounds.last_number_, .term_ = term, .sent_at_ = now};
    const auto others = std::stable_partition(rounds.next_.begin(), rounds.next_.end(),
                                              [term](const auto& read) { return read.term_ == term; });
    created.reads_.assign(rounds.next_.begin(), others);
    rounds.next_.erase(rounds.next_.begin(), others);
    next.round_to_send_ = created.number_;
    rounds.in_flight_ = std::move(created);
    return next;
}

} // namespace backends
