#include <stand_ins/database/decisions.hpp>

#include <algorithm>

namespace stand_ins::database {

namespace {

database_response done(const database_state& state, std::vector<std::string> results) {
    return {.term_ = state.terms().term(), .position_ = state.last(), .results_ = std::move(results)};
}

// The position in the current term that a majority must hold before a recorded outcome may be reported: an
// outcome from an earlier term is covered by the entry that starts the current one.
base::log_position position_of(const database_state& state, const outcome& recorded) {
    return {state.terms().term(), std::max(recorded.index_, state.terms().start())};
}

constexpr const char* initial_proposer = "initial";

bool conflicts(const outcome& recorded, const std::string& fingerprint) {
    return !fingerprint.empty() && !recorded.fingerprint_.empty() && recorded.fingerprint_ != fingerprint;
}

log_entry entry_after(const database_state& state, entry_kind kind, const database_request& request,
                      std::vector<std::string> results) {
    log_entry_fields fields;
    fields.position_ = {state.terms().term(), state.last().index() + 1};
    fields.kind_ = kind;
    if (kind == entry_kind::write) {
        fields.statements_ = request->statements_;
    }
    fields.key_ = request->key_;
    fields.fingerprint_ = request->fingerprint_;
    fields.results_ = std::move(results);
    return fields;
}

log_entry term_start_entry(std::uint64_t term, std::uint64_t index) {
    return log_entry_fields{.position_ = {term, index}, .kind_ = entry_kind::term_start};
}

} // namespace

database_response refuse(const database_state& state, refusal_reason reason) {
    return {.refusal_ = reason, .term_ = state.terms().term()};
}

std::optional<refusal_reason> check_place(const database_state& state, const database_request& request) {
    if (request->term_ != state.terms().term()) {
        return refusal_reason::term_stale;
    }
    if (state.terms().is_primary()) {
        return std::nullopt;
    }
    if (request->access_ == access_kind::write) {
        return refusal_reason::not_primary;
    }
    if (state.last().term() != request->term_) {
        return refusal_reason::term_stale;
    }
    return state.last() < request->minimum_ ? std::optional{refusal_reason::behind} : std::nullopt;
}

std::optional<database_response> response_from_record(const database_state& state, const std::string& key,
                                                      const std::string& fingerprint) {
    const auto recorded = key.empty() ? std::nullopt : state.find_outcome(key);
    if (!recorded) {
        return std::nullopt;
    }
    if (conflicts(*recorded, fingerprint)) {
        return refuse(state, refusal_reason::key_conflict);
    }
    if (recorded->kind_ == outcome::kind::cancelled) {
        return refuse(state, refusal_reason::cancelled);
    }
    return database_response{.term_ = state.terms().term(),
                             .position_ = position_of(state, *recorded),
                             .results_ = recorded->results_,
                             .replayed_ = true};
}

decision decide_execute(const database_state& state, const database_request& request) {
    if (const auto reason = check_place(state, request)) {
        return {refuse(state, *reason), {}};
    }
    if (request->access_ == access_kind::write) {
        if (auto recorded = response_from_record(state, request->key_, request->fingerprint_)) {
            return {std::move(*recorded), {}};
        }
    }
    const auto read_value = [&state](const std::string& key) {
        return state.value(key);
    };
    const auto effect = evaluate_statements(request->statements_, request->access_, read_value);
    if (!effect) {
        return {refuse(state, refusal_reason::bad_statement), {}};
    }
    auto answer = done(state, effect->results_);
    if (request->access_ == access_kind::read) {
        return {std::move(answer), {}};
    }
    auto entry = entry_after(state, entry_kind::write, request, effect->results_);
    answer.position_ = entry->position_;
    return {std::move(answer), {std::move(entry)}};
}

decision decide_settle(const database_state& state, const database_request& request) {
    if (request->term_ != state.terms().term()) {
        return {refuse(state, refusal_reason::term_stale), {}};
    }
    if (!state.terms().is_primary()) {
        return {refuse(state, refusal_reason::not_primary), {}};
    }
    if (request->key_.empty()) {
        return {refuse(state, refusal_reason::bad_statement), {}};
    }
    if (const auto recorded = state.find_outcome(request->key_)) {
        if (conflicts(*recorded, request->fingerprint_)) {
            return {refuse(state, refusal_reason::key_conflict), {}};
        }
        return {{.term_ = state.terms().term(),
                 .position_ = position_of(state, *recorded),
                 .results_ = recorded->results_,
                 .outcome_ = recorded->kind_},
                {}};
    }
    auto entry = entry_after(state, entry_kind::cancellation, request, {});
    return {
        {.term_ = state.terms().term(), .position_ = entry->position_, .outcome_ = outcome::kind::cancelled},
        {std::move(entry)}};
}

raise_decision decide_raise(const database_state& state, const database_request& request) {
    auto granted = grant_term(state.terms(), request->term_, request->proposer_);
    if (!granted) {
        return {};
    }
    raise_decision result{.granted_ = true};
    if (*granted != state.terms()) {
        result.changes_.emplace_back(std::move(*granted));
    }
    return result;
}

promote_decision decide_promote(const database_state& state, const database_request& request) {
    const auto next = state.last().index() + 1;
    auto promoted = promote_in_term(state.terms(), request->term_, request->proposer_, next);
    if (!promoted) {
        return {};
    }
    promote_decision result{.promoted_ = true};
    if (*promoted != state.terms()) {
        result.changes_.emplace_back(std::move(*promoted));
        result.changes_.emplace_back(term_start_entry(request->term_, next));
    }
    return result;
}

state_changes start_group() {
    return {term_record{1, initial_proposer, 1}, term_start_entry(1, 1)};
}

state_changes join_group() {
    return {term_record{1, initial_proposer, 0}};
}

} // namespace stand_ins::database
