#pragma once

#include <base/clock.hpp>
#include <base/error_kind.hpp>
#include <base/request.hpp>

#include <compare>
#include <cstdint>
#include <optional>

namespace backends {

/// Why a database refused a request. A refused request provably did not run.
enum class refusal : std::uint8_t {
    term_stale,
    not_primary,
    behind,
    cancelled,
    key_conflict,
    slots_busy,
    leaving,
    bad_statement,
    no_transaction,
    /// Another transaction has changed what this one read; it was rolled back.
    write_conflict,
};

/// How an attempt to serve a request ended.
enum class attempt_end : std::uint8_t {
    /// The database answered and the gate (and the freshness round, where needed) released the answer.
    released,
    /// No connection came about or the deadline passed before the request was handed to one.
    not_sent,
    refused,
    /// The request was sent and no answer came.
    answer_lost,
    /// The answer waited at the gate or for a round when the term changed.
    term_changed,
    /// The answer waited at the gate or for a round until the deadline.
    gate_timed_out,
    /// `settle` found the recorded outcome, and the gate released it.
    settled_done,
    /// `settle` wrote or found a cancellation, and the gate released it.
    settled_cancelled,
    /// `settle` got no answer, was refused or did not pass the gate.
    settle_failed,
};

/// Whether an earlier attempt of the same request may have run.
enum class earlier_attempts : std::uint8_t { none_ran, may_have_run };

/// Whether the retry budget and the connections let the request be tried again.
enum class retry_permission : std::uint8_t { allowed, exhausted };

/// An attempt that has ended, with what the decision needs to know of its request.
struct ended_attempt {
    attempt_end end_ = attempt_end::not_sent;
    /// Set exactly when `end_` is `refused`.
    std::optional<refusal> refusal_;
    base::access access_ = base::access::read;
    base::transaction_step step_ = base::transaction_step::none;
    bool has_key_ = false;
    earlier_attempts earlier_ = earlier_attempts::none_ran;
    retry_permission retry_ = retry_permission::allowed;
    base::clock::duration time_left_{0};

    friend auto operator<=>(const ended_attempt&, const ended_attempt&) = default;
};

enum class next_step : std::uint8_t {
    /// Send the request again, for a write with the same key, to the database that is right by then.
    retry,
    /// Ask the present primary for the recorded outcome, or to cancel the key.
    settle,
    respond_done,
    respond_not_run,
    respond_unknown,
};

/// What to do after an attempt, and the error for `respond_not_run` and `respond_unknown`.
struct outcome_decision {
    next_step next_ = next_step::respond_unknown;
    std::optional<base::error_kind> error_;
    /// What the next call has to be given as `ended_attempt::earlier_`.
    earlier_attempts earlier_ = earlier_attempts::none_ran;

    friend auto operator<=>(const outcome_decision&, const outcome_decision&) = default;
};

/// Decides what follows an attempt. `respond_not_run` is returned only on proof: a released cancellation of
/// the key, or no attempt of this request that was sent without being refused.
[[nodiscard]] outcome_decision decide_outcome(const ended_attempt& attempt);

/// Time kept back for settling: a round trip to the primary and one through the gate.
inline constexpr base::clock::duration settle_reserve{200};

} // namespace backends
