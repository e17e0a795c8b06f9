#include <backends/outcome_decision.hpp>

namespace backends {

namespace {

using base::error_kind;

error_kind error_of(refusal reason) {
    switch (reason) {
    case refusal::term_stale:
        return error_kind::term_stale;
    case refusal::not_primary:
    case refusal::leaving:
        return error_kind::no_primary;
    case refusal::behind:
        return error_kind::backend_unavailable;
    case refusal::cancelled:
        return error_kind::key_cancelled;
    case refusal::key_conflict:
        return error_kind::key_conflict;
    case refusal::slots_busy:
        return error_kind::overloaded;
    case refusal::bad_statement:
        return error_kind::statement_invalid;
    case refusal::no_transaction:
    case refusal::write_conflict:
        return error_kind::transaction_aborted;
    }
    return error_kind::internal;
}

bool may_pass(refusal reason) {
    return reason == refusal::term_stale || reason == refusal::not_primary || reason == refusal::behind ||
           reason == refusal::slots_busy || reason == refusal::leaving;
}

bool is_inside_transaction(const ended_attempt& attempt) {
    return attempt.step_ != base::transaction_step::none;
}

bool can_retry(const ended_attempt& attempt) {
    return attempt.retry_ == retry_permission::allowed && attempt.time_left_ > base::clock::duration{0} &&
           (!is_inside_transaction(attempt) || attempt.step_ == base::transaction_step::begin);
}

outcome_decision give_up(error_kind kind, earlier_attempts earlier) {
    const auto next =
        earlier == earlier_attempts::none_ran ? next_step::respond_not_run : next_step::respond_unknown;
    return {.next_ = next, .error_ = kind, .earlier_ = earlier};
}

outcome_decision settle_or_unknown(const ended_attempt& attempt, error_kind kind) {
    if (attempt.has_key_ && attempt.access_ == base::access::write &&
        attempt.time_left_ > base::clock::duration{0}) {
        return {.next_ = next_step::settle, .error_ = {}, .earlier_ = earlier_attempts::may_have_run};
    }
    return {.next_ = next_step::respond_unknown, .error_ = kind, .earlier_ = earlier_attempts::may_have_run};
}

// An attempt of a transaction step that was sent and has no released answer. The connection is closed, so
// the database rolls back whatever was not committed; only a commit can have had an effect.
outcome_decision after_lost_step(const ended_attempt& attempt) {
    if (attempt.step_ == base::transaction_step::commit) {
        return settle_or_unknown(attempt, error_kind::answer_lost);
    }
    return {.next_ = next_step::respond_not_run,
            .error_ = error_kind::transaction_aborted,
            .earlier_ = earlier_attempts::none_ran};
}

outcome_decision after_lost_response(const ended_attempt& attempt, error_kind kind) {
    if (is_inside_transaction(attempt)) {
        return after_lost_step(attempt);
    }
    const bool repeatable = attempt.access_ == base::access::read ||
                            (attempt.has_key_ && attempt.time_left_ > 2 * settle_reserve);
    if (repeatable && can_retry(attempt)) {
        return {.next_ = next_step::retry, .error_ = {}, .earlier_ = earlier_attempts::may_have_run};
    }
    return settle_or_unknown(attempt, kind);
}

outcome_decision after_refusal(const ended_attempt& attempt) {
    const auto reason = attempt.refusal_.value_or(refusal::term_stale);
    // The cancellation entry that the database found may itself not be held by a majority yet.
    if (reason == refusal::cancelled) {
        return settle_or_unknown(attempt, error_kind::key_cancelled);
    }
    const bool uncertain = attempt.earlier_ == earlier_attempts::may_have_run;
    if (may_pass(reason) && can_retry(attempt) &&
        (!uncertain || attempt.access_ == base::access::read || attempt.time_left_ > 2 * settle_reserve)) {
        return {.next_ = next_step::retry, .error_ = {}, .earlier_ = attempt.earlier_};
    }
    if (uncertain && reason != refusal::key_conflict) {
        return settle_or_unknown(attempt, error_of(reason));
    }
    return give_up(error_of(reason), attempt.earlier_);
}

outcome_decision after_not_sent(const ended_attempt& attempt) {
    const bool uncertain = attempt.earlier_ == earlier_attempts::may_have_run;
    if (uncertain && attempt.access_ == base::access::write && attempt.time_left_ <= 2 * settle_reserve) {
        return settle_or_unknown(attempt, error_kind::answer_lost);
    }
    if (can_retry(attempt)) {
        return {.next_ = next_step::retry, .error_ = {}, .earlier_ = attempt.earlier_};
    }
    if (uncertain) {
        return settle_or_unknown(attempt, error_kind::answer_lost);
    }
    const bool late = attempt.time_left_ <= base::clock::duration{0};
    return give_up(late ? error_kind::deadline_expired : error_kind::backend_unavailable, attempt.earlier_);
}

} // namespace

outcome_decision decide_outcome(const ended_attempt& attempt) {
    switch (attempt.end_) {
    case attempt_end::released:
    case attempt_end::settled_done:
        return {.next_ = next_step::respond_done, .error_ = {}, .earlier_ = attempt.earlier_};
    case attempt_end::settled_cancelled:
        return {.next_ = next_step::respond_not_run,
                .error_ = error_kind::key_cancelled,
                .earlier_ = earlier_attempts::none_ran};
    case attempt_end::not_sent:
        return after_not_sent(attempt);
    case attempt_end::refused:
        return after_refusal(attempt);
    case attempt_end::answer_lost:
        return after_lost_response(attempt, error_kind::answer_lost);
    case attempt_end::term_changed:
        return after_lost_response(attempt, error_kind::term_stale);
    case attempt_end::gate_timed_out:
        return after_lost_response(attempt, error_kind::deadline_expired);
    case attempt_end::settle_failed:
        return settle_or_unknown(attempt, error_kind::answer_lost);
    }
    return {
        .next_ = next_step::respond_unknown, .error_ = error_kind::internal, .earlier_ = attempt.earlier_};
}

} // namespace backends
