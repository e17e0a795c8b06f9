#include <stand_ins/database/transaction.hpp>

#include <algorithm>

namespace stand_ins::database {

namespace {

std::optional<refusal_reason> check_open(const database_state& state, const transaction& open,
                                         const database_request& request) {
    if (const auto reason = check_place(state, request.with([&open](database_request_fields& fields) {
            fields.access_ = open->access_;
        }))) {
        return reason;
    }
    // A term that changed and a log that was truncated take away what the transaction has read.
    return open->term_ == state.terms().term() ? std::nullopt : std::optional{refusal_reason::no_transaction};
}

// A transaction sees the state of its start: a key written later by another request ends it.
bool has_conflict(const database_state& state, const transaction_fields& open) {
    return std::any_of(open.effect_.touched_.begin(), open.effect_.touched_.end(),
                       [&](const std::string& key) { return state.version(key) > open.begun_at_; });
}

} // namespace

step_decision begin_transaction(const database_state& state, const database_request& request) {
    if (const auto reason = check_place(state, request)) {
        return {refuse(state, *reason), std::nullopt};
    }
    const transaction opened{transaction_fields{
        .term_ = request->term_, .begun_at_ = state.last().index(), .access_ = request->access_}};
    auto first = continue_transaction(state, opened, request);
    if (first.answer_.refusal_) {
        first.next_.reset();
    }
    return first;
}

step_decision continue_transaction(const database_state& state, const transaction& open,
                                   const database_request& request) {
    if (const auto reason = check_open(state, open, request)) {
        return {refuse(state, *reason), std::nullopt};
    }
    const auto read_value = [&state](const std::string& key) {
        return state.value(key);
    };
    auto effect = evaluate_statements(request->statements_, open->access_, read_value, open->effect_);
    if (!effect) {
        return {refuse(state, refusal_reason::bad_statement), open};
    }
    const auto known = static_cast<std::ptrdiff_t>(open->effect_.results_.size());
    database_response answer{.term_ = state.terms().term(), .position_ = state.last()};
    answer.results_.assign(effect->results_.begin() + known, effect->results_.end());
    auto next = open.with([&](transaction_fields& fields) {
        fields.statements_.insert(fields.statements_.end(), request->statements_.begin(),
                                  request->statements_.end());
        fields.effect_ = std::move(*effect);
    });
    if (has_conflict(state, *next)) {
        return {refuse(state, refusal_reason::write_conflict), std::nullopt};
    }
    return {std::move(answer), std::move(next)};
}

decision commit_transaction(const database_state& state, const transaction& open,
                            const database_request& request) {
    auto last = continue_transaction(state, open, request);
    if (last.answer_.refusal_) {
        // A repeat of a committed transaction conflicts with its own first run; the record answers it.
        auto recorded = check_open(state, open, request)
                            ? std::nullopt
                            : response_from_record(state, request->key_, request->fingerprint_);
        return {recorded ? std::move(*recorded) : std::move(last.answer_), {}};
    }
    const auto& whole = **last.next_;
    if (open->access_ == access_kind::read) {
        last.answer_.results_ = whole.effect_.results_;
        return {std::move(last.answer_), {}};
    }
    // The checks above make the state equal to the transaction's start for every key that it touched, so
    // running its statements now gives the results that its steps were answered with.
    return decide_execute(state, request.with([&](database_request_fields& fields) {
        fields.access_ = access_kind::write;
        fields.statements_ = whole.statements_;
    }));
}

} // namespace stand_ins::database
