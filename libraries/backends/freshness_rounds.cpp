#include <backends/freshness_rounds.hpp>

#include <algorithm>
#include <utility>

namespace backends {

namespace {

std::optional<freshness_result> final_result(const pending_read& read, std::uint64_t current_term,
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

freshness_rounds::step freshness_rounds::add_read(pending_read read, base::clock::time_point now) const {
    step next{.rounds_ = *this};
    next.rounds_.pending_reads_.push_back(read);
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
    const auto has_ended = [&](const pending_read& read) {
        const auto result = final_result(read, current_term, now);
        if (result) {
            next.decisions_.push_back({.id_ = read.id_, .result_ = *result});
        }
        return result.has_value();
    };
    std::erase_if(rounds.pending_reads_, has_ended);
    if (rounds.in_flight_) {
        std::erase_if(rounds.in_flight_->reads_, has_ended);
        const bool overdue = rounds.in_flight_->sent_at_ + freshness_round_timeout <= now;
        if (overdue || rounds.in_flight_->reads_.empty()) {
            rounds.pending_reads_.insert(rounds.pending_reads_.begin(), rounds.in_flight_->reads_.begin(),
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
    if (rounds.in_flight_ || rounds.pending_reads_.empty()) {
        return next;
    }
    // A round confirms one term; reads of another term wait for a round of their own.
    const auto term =
        std::max_element(rounds.pending_reads_.begin(), rounds.pending_reads_.end(),
                         [](const auto& one, const auto& other) { return one.term_ < other.term_; })
            ->term_;
    round new_round{.number_ = ++rounds.last_number_, .term_ = term, .sent_at_ = now};
    const auto others = std::stable_partition(rounds.pending_reads_.begin(), rounds.pending_reads_.end(),
                                              [term](const auto& read) { return read.term_ == term; });
    new_round.reads_.assign(rounds.pending_reads_.begin(), others);
    rounds.pending_reads_.erase(rounds.pending_reads_.begin(), others);
    next.round_to_send_ = new_round.number_;
    rounds.in_flight_ = std::move(new_round);
    return next;
}

} // namespace backends
