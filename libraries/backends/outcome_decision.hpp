#pragma once

#include <base/clock.hpp>
#include <base/error_kind.hpp>
#include <base/request.hpp>

#include <compare>
#include <cstdint>
#include <optional>

namespace backends {

/// The reason why a database refused a request. A refused request provably did not run.
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
    /// Another transaction changed data that this one had read, so this one was rolled back.
    write_conflict,
};

/// The result of one attempt to serve a request.
enum class attempt_end : std::uint8_t {
    /// The database responded and the acknowledgement gate (and the freshness round, where needed) released
    /// the response.
    released,
    /// No connection was established, or the deadline passed before the request was sent.
    not_sent,
    refused,
    /// The request was sent and no response arrived.
    answer_lost,
    /// The term changed while the response waited at the gate or for a freshness round.
    term_changed,
    /// The deadline passed while the response waited at the gate or for a freshness round.
    gate_timed_out,
    /// `settle` returned the recorded outcome, and the gate released it.
    settled_done,
    /// `settle` wrote or returned a cancellation, and the gate released it.
    settled_cancelled,
    /// `settle` received no response, was refused or was not released by the gate.
    settle_failed,
};

/// Whether an earlier attempt of the same request may have run.
enum class earlier_attempts : std::uint8_t { none_ran, may_have_run };

/// Whether the retry budget and the available connections permit a retry of the request.
enum class retry_permission : std::uint8_t { allowed, exhausted };

/// An attempt that has ended, with the properties of its request that the decision depends on.
struct ended_attempt {
    attempt_end end_ = attempt_end::not_sent;
    /// Set if and only if `end_` is `refused`.
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
    /// Send the request again, a write with the same key, to the database that is responsible at that time.
    retry,
    /// Request the recorded outcome from the current primary, or the cancellation of the key.
    settle,
    respond_done,
    respond_not_run,
    respond_unknown,
};

/// The next step after an attempt, and the error for `respond_not_run` and `respond_unknown`.
struct outcome_decision {
    next_step next_ = next_step::respond_unknown;
    std::optional<base::error_kind> error_;
    /// The value to pass as `ended_attempt::earlier_` in the next call.
    earlier_attempts earlier_ = earlier_attempts::none_ran;

    friend auto operator<=>(const outcome_decision&, const outcome_decision&) = default;
};

/// Decides what follows an attempt. `respond_not_run` is returned only with proof that the request did not
/// run: the gate released a cancellation of the key, or every attempt that was sent was refused.
[[nodiscard]] outcome_decision decide_outcome(const ended_attempt& attempt);

/// Time reserved for a `settle` request: a round trip to the primary and one through the gate.
inline constexpr base::clock::duration settle_reserve{200};

} // namespace backends
