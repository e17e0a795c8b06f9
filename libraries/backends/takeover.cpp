#include <backends/takeover.hpp>

#include <algorithm>
#include <utility>

namespace backends {

namespace {

// Returns whether a database that stays holds everything that the leaving primary is known to hold.
bool has_caught_up(const group_view& view) {
    const auto primary = view.primary();
    if (!primary) {
        return true;
    }
    const auto target = (*view.find(*primary)->status_)->last_;
    return std::any_of(view.databases().begin(), view.databases().end(), [&](const auto& candidate) {
        return candidate.name_ != *primary && candidate.status_ && !candidate.is_leaving() &&
               holds(*candidate.status_, target);
    });
}

} // namespace

std::string_view name_of(takeover_reason reason) noexcept {
    switch (reason) {
    case takeover_reason::primary_failed:
        return "primary_failed";
    case takeover_reason::primary_leaving:
        return "primary_leaving";
    case takeover_reason::no_primary:
        return "no_primary";
    case takeover_reason::term_split:
        return "term_split";
    }
    return "unknown";
}

takeover takeover::begin(const group_view& view, takeover_reason reason, std::string proposer,
                         std::uint64_t last_used_term, base::clock::time_point now,
                         base::clock::duration jitter) {
    takeover created;
    const bool orderly = reason == takeover_reason::primary_leaving;
    created.phase_ = orderly ? takeover_phase::catching_up : takeover_phase::raising;
    created.reason_ = reason;
    created.term_ = std::max(view.greatest_term(), last_used_term) + 1;
    created.proposer_ = std::move(proposer);
    created.started_at_ = now;
    created.not_before_ = now;
    created.jitter_ = jitter;
    created.group_size_ = view.databases().size();
    return created.advance(view, now);
}

std::optional<takeover_request> takeover::next_request(std::string_view database,
                                                       base::clock::time_point now) const {
    if (now < not_before_) {
        return std::nullopt;
    }
    if (phase_ == takeover_phase::promoting && database == chosen_) {
        return takeover_request{.step_ = takeover_step::promote, .term_ = term_, .proposer_ = proposer_};
    }
    const auto has_granted = [&](const grant& granted) {
        return granted.database_ == database;
    };
    const bool answered = std::any_of(grants_.begin(), grants_.end(), has_granted) ||
                          std::find(refusals_.begin(), refusals_.end(), database) != refusals_.end();
    // Databases that have not granted the term by the time of the promotion learn it from its primary.
    if (phase_ == takeover_phase::raising && !answered) {
        return takeover_request{.step_ = takeover_step::raise, .term_ = term_, .proposer_ = proposer_};
    }
    return std::nullopt;
}

takeover takeover::record_grant(std::string_view database, std::uint64_t term,
                                base::log_position last) const {
    takeover changed = *this;
    const auto known = std::any_of(grants_.begin(), grants_.end(),
                                   [&](const grant& granted) { return granted.database_ == database; });
    if (phase_ == takeover_phase::raising && term == term_ && !known) {
        changed.grants_.push_back({.database_ = std::string{database}, .last_ = last});
    }
    return changed;
}

takeover takeover::record_refusal(std::string_view database, std::uint64_t term, std::uint64_t known_term,
                                  base::clock::time_point now) const {
    takeover changed = *this;
    if (term != term_ || is_over() || phase_ == takeover_phase::catching_up) {
        return changed;
    }
    changed.greatest_refused_term_ = std::max(greatest_refused_term_, known_term);
    if (phase_ == takeover_phase::promoting) {
        changed.retry_with_higher_term(changed.greatest_refused_term_, now);
        return changed;
    }
    if (std::find(refusals_.begin(), refusals_.end(), database) == refusals_.end()) {
        changed.refusals_.emplace_back(database);
    }
    const auto majority = group_size_ / 2 + 1;
    if (changed.refusals_.size() > group_size_ - majority) {
        changed.retry_with_higher_term(changed.greatest_refused_term_, now);
    }
    return changed;
}

takeover takeover::with_promotion(std::string_view database, std::uint64_t term) const {
    takeover changed = *this;
    if (phase_ == takeover_phase::promoting && term == term_ && database == chosen_) {
        changed.phase_ = takeover_phase::won;
    }
    return changed;
}

takeover takeover::advance(const group_view& view, base::clock::time_point now) const {
    takeover changed = *this;
    if (is_over()) {
        return changed;
    }
    if (phase_ == takeover_phase::promoting && view.term() == term_ && view.primary() == chosen_) {
        // The promotion took effect although its answer was lost.
        changed.phase_ = takeover_phase::won;
        return changed;
    }
    const auto catch_up =
        reason_ == takeover_reason::primary_leaving ? catch_up_time : base::clock::duration{0};
    if (view.term() >= term_ || now >= started_at_ + catch_up + takeover_timeout) {
        changed.phase_ = takeover_phase::failed;
        return changed;
    }
    if (phase_ == takeover_phase::catching_up && (has_caught_up(view) || now >= started_at_ + catch_up)) {
        changed.phase_ = takeover_phase::raising;
        changed.term_ = std::max(term_, view.greatest_term() + 1);
        changed.not_before_ = now;
    }
    if (changed.phase_ == takeover_phase::raising) {
        changed.choose(view, now);
    }
    return changed;
}

void takeover::choose(const group_view& view, base::clock::time_point now) {
    const auto majority = view.majority();
    if (grants_.size() < majority) {
        return;
    }
    for (auto& granted : grants_) {
        const auto* known = view.find(granted.database_);
        granted.leaving_ = known != nullptr && known->is_leaving();
    }
    auto candidates = grants_;
    std::erase_if(candidates, [](const grant& granted) { return granted.leaving_; });
    // A majority without the leaving databases holds every acknowledged write by itself.
    if (candidates.size() < majority) {
        const bool orderly = reason_ == takeover_reason::primary_leaving;
        if (orderly && grants_.size() < group_size_ && now < not_before_ + orderly_grant_time) {
            return;
        }
        candidates = grants_;
    }
    const auto best =
        std::max_element(candidates.begin(), candidates.end(), [](const auto& one, const auto& other) {
            return std::pair{one.last_, !one.leaving_} < std::pair{other.last_, !other.leaving_};
        });
    chosen_ = best->database_;
    phase_ = takeover_phase::promoting;
}

void takeover::retry_with_higher_term(std::uint64_t known_term, base::clock::time_point now) {
    phase_ = takeover_phase::raising;
    term_ = std::max(term_, known_term) + 1;
    ++retries_;
    not_before_ = now + takeover_retry_delay * retries_ + jitter_;
    grants_.clear();
    refusals_.clear();
    greatest_refused_term_ = 0;
    chosen_.clear();
}

} // namespace backends
