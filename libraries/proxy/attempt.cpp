#include <proxy/attempt.hpp>

#include <algorithm>
#include <utility>

namespace proxy {

namespace {

constexpr base::clock::duration pause_without_primary{1'000};

std::string message_of(const attempt& last) {
    if (last->end_ == backends::attempt_end::settled_cancelled) {
        return "the idempotency key is cancelled, so its request has not run and cannot run any more";
    }
    return last->reason_.empty() ? "the database group did not serve the request" : last->reason_;
}

base::error error_of(const attempt& last, const backends::outcome_decision& decision) {
    if (last->shed_) {
        return *last->shed_;
    }
    return base::error{decision.error_.value_or(base::error_kind::internal), message_of(last)};
}

base::clock::duration pause_after(const attempt& last, const base::error& reason) {
    if (last->shed_) {
        return last->retry_after_;
    }
    const bool passes = reason.kind() == base::error_kind::no_primary ||
                        reason.kind() == base::error_kind::term_stale ||
                        reason.kind() == base::error_kind::backend_unavailable ||
                        reason.kind() == base::error_kind::overloaded;
    return passes ? pause_without_primary : base::clock::duration{0};
}

} // namespace

attempt failed_attempt(backends::attempt_end end, std::string reason) {
    return attempt_fields{.end_ = end, .reason_ = std::move(reason)};
}

attempt refused_attempt(backends::refusal refusal) {
    return attempt_fields{.end_ = backends::attempt_end::refused,
                          .refusal_ = refusal,
                          .reason_ = "the database refused the request"};
}

base::response conclude(const attempt& last, const backends::outcome_decision& decision) {
    if (decision.next_ == backends::next_step::respond_done) {
        return base::response_fields{.outcome_ = base::outcome::done,
                                     .results_ = last->results_,
                                     .position_ = last->position_,
                                     .served_by_ = last->served_by_};
    }
    auto reason = error_of(last, decision);
    if (decision.next_ == backends::next_step::respond_not_run) {
        const auto pause = pause_after(last, reason);
        return base::not_run(std::move(reason), pause);
    }
    return base::unknown(base::error{base::error_kind::answer_lost, reason.message()});
}

base::response with_session(const base::response& response, const base::request& request) {
    const bool in_session = request->session_ != base::session_state::none;
    const bool moves =
        request->access_ != base::access::read || request->session_ == base::session_state::without_token;
    return response.with([&](base::response_fields& fields) {
        if (!in_session && request->access_ == base::access::read) {
            fields.position_.reset();
        } else if (fields.position_ && !moves) {
            fields.position_ = request->token_;
        } else if (fields.position_) {
            fields.position_ = std::max(*fields.position_, request->token_);
        }
    });
}

} // namespace proxy
