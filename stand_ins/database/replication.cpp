#include <stand_ins/database/replication.hpp>

#include <algorithm>

namespace stand_ins::database {

namespace {

bool has_entry(const database_state& state, base::log_position position) {
    return state.term_at(position.index()) == position.term();
}

state_changes changes_for(const database_state& state, const std::vector<log_entry>& entries) {
    state_changes changes;
    const auto first_new = std::find_if_not(entries.begin(), entries.end(), [&state](const log_entry& entry) {
        return has_entry(state, entry->position_);
    });
    if (first_new == entries.end()) {
        return changes;
    }
    const auto last_kept = (*first_new)->position_.index() - 1;
    if (last_kept < state.last().index()) {
        changes.emplace_back(truncation{last_kept});
    }
    changes.insert(changes.end(), first_new, entries.end());
    return changes;
}

base::log_position last_after(const database_state& state, const state_changes& changes) {
    const auto* entry = changes.empty() ? nullptr : std::get_if<log_entry>(&changes.back());
    return entry != nullptr ? (*entry)->position_ : state.last();
}

} // namespace

replication_decision decide_push(const database_state& state, const replication_push& push) {
    const auto followed = follow_term(state.terms(), push.term_);
    if (!followed) {
        return {{.term_ = state.terms().term(), .last_ = state.last()}, {}};
    }
    replication_decision result{
        .answer_ = {.accepted_ = true, .matched_ = has_entry(state, push.previous_), .term_ = push.term_}};
    if (result.answer_.matched_) {
        result.changes_ = changes_for(state, push.entries_);
    }
    result.answer_.last_ = last_after(state, result.changes_);
    if (*followed != state.terms()) {
        result.changes_.insert(result.changes_.begin(), *followed);
    }
    return result;
}

replication_push next_push(const database_state& state, replication_progress progress,
                           std::uint64_t last_allowed, std::size_t most) {
    const auto last = std::min(last_allowed, state.last().index());
    const auto previous = std::min(progress.next() - 1, state.last().index());
    replication_push push{.term_ = state.terms().term(),
                          .previous_ = {state.term_at(previous).value_or(0), previous}};
    for (auto index = previous + 1; index <= last && push.entries_.size() < most; ++index) {
        push.entries_.push_back(state.entries()[index - 1]);
    }
    return push;
}

replication_progress after_response(replication_progress progress, const replication_push& push,
                                    const replication_response& answer) {
    if (!answer.accepted_) {
        return progress;
    }
    if (answer.matched_) {
        return replication_progress{push.previous_.index() + push.entries_.size() + 1};
    }
    const auto back = std::min(push.previous_.index(), answer.last_.index() + 1);
    return replication_progress{std::max<std::uint64_t>(back, 1)};
}

} // namespace stand_ins::database
