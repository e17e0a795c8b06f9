#include <proxy/entry_decision.hpp>

#include <string>

namespace proxy {

namespace {

bool is_repeatable(const base::request& request) {
    if (request->step_ != base::transaction_step::none) {
        return false;
    }
    return request->access_ != base::access::write || request->idempotency_key_.has_value();
}

base::response lost_transaction_step(const base::request& request) {
    if (request->step_ == base::transaction_step::commit) {
        return base::unknown(base::error{base::error_kind::answer_lost,
                                         "the daemon that held the transaction was lost during its commit"});
    }
    return base::not_run(base::error{base::error_kind::transaction_aborted,
                                     "the daemon that held the transaction was lost; it was rolled back"});
}

} // namespace

entry_action decide_after_lost_owner(const base::request& request, forward_failure failure,
                                     const base::error& reason, base::clock::duration time_left) {
    const bool in_transaction =
        request->step_ != base::transaction_step::none && request->step_ != base::transaction_step::begin;
    if (failure == forward_failure::not_sent) {
        if (in_transaction) {
            return base::not_run(
                base::error{base::error_kind::transaction_aborted,
                            "the daemon that holds the transaction cannot be reached: " + reason.message()});
        }
        if (time_left > base::clock::duration{0}) {
            return forward_again{};
        }
        return base::not_run(
            base::error{base::error_kind::peer_unavailable,
                        "no home of the database group could be reached: " + reason.message()});
    }
    if (request->step_ != base::transaction_step::none) {
        return lost_transaction_step(request);
    }
    if (is_repeatable(request) && time_left > base::clock::duration{0}) {
        return forward_again{};
    }
    // A read changes nothing, so a read without an answer counts as not run.
    if (request->access_ == base::access::read) {
        return base::not_run(base::error{base::error_kind::deadline_expired,
                                         "the home did not answer in time: " + reason.message()});
    }
    return base::unknown(base::error{base::error_kind::answer_lost,
                                     "the home was lost before its answer arrived: " + reason.message()});
}

base::response vouch_for(const base::response& last, const base::request& request, earlier_forwards earlier) {
    const bool concerns_earlier =
        request->access_ == base::access::settle ||
        (request->access_ == base::access::write && earlier == earlier_forwards::may_have_run);
    const bool is_proven = last->error_ && last->error_->kind() == base::error_kind::key_cancelled;
    if (last->outcome_ != base::outcome::not_run || !concerns_earlier || is_proven) {
        return last;
    }
    const auto reason = last->error_ ? last->error_->message() : std::string{"the request was refused"};
    return base::unknown(base::error{base::error_kind::answer_lost,
                                     "whether an earlier attempt ran could not be established: " + reason})
        .with([&last](base::response_fields& fields) { fields.retry_after_ = last->retry_after_; });
}

} // namespace proxy
