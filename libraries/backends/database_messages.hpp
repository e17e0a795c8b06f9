#pragma once

#include <backends/outcome_decision.hpp>

#include <base/clock.hpp>
#include <base/immutable.hpp>
#include <base/log_position.hpp>
#include <base/request.hpp>

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// The messages of the database interface, independent of a wire format.
namespace backends {

/// Requests that a database delay its status response until its state changes.
struct status_wait {
    /// Respond once the last entry or the term is beyond this position.
    base::log_position beyond_;
    /// Respond after this time at the latest.
    base::clock::duration time_{0};

    friend auto operator<=>(const status_wait&, const status_wait&) = default;
};

/// The response to a raise or a promote request.
struct term_response {
    /// For a raise, whether the database granted the term; for a promote, whether it is now the primary.
    bool accepted_ = false;
    /// The database's current term.
    std::uint64_t term_ = 0;
    base::log_position last_;

    friend auto operator<=>(const term_response&, const term_response&) = default;
};

/// Statements to run at a database. `begin`, `statement`, `commit` and `rollback` take the same fields.
struct execute_request_fields {
    std::uint64_t term_ = 0;
    base::access access_ = base::access::read;
    std::vector<std::string> statements_;
    /// The idempotency key, if any.
    std::optional<std::string> key_;
    /// A digest of the request's content; empty if there is no key.
    std::string fingerprint_;
    /// For a read from a replica: the log position that the replica must have reached.
    std::optional<base::log_position> minimum_;

    friend auto operator<=>(const execute_request_fields&, const execute_request_fields&) = default;
    friend bool operator==(const execute_request_fields&, const execute_request_fields&) = default;
};

using execute_request = base::immutable<execute_request_fields>;

/// The response to statements: their results, or the reason why they were refused.
struct execute_response_fields {
    /// Empty if the statements ran.
    std::optional<refusal> refusal_;
    /// The term in which the database responded.
    std::uint64_t term_ = 0;
    /// Position of the statements in the group's log; meaningful only if they were not refused.
    base::log_position position_;
    std::vector<std::string> results_;
    /// Whether the results are those recorded for the key by an earlier execution.
    bool replayed_ = false;

    friend auto operator<=>(const execute_response_fields&, const execute_response_fields&) = default;
    friend bool operator==(const execute_response_fields&, const execute_response_fields&) = default;
};

using execute_response = base::immutable<execute_response_fields>;

/// Requests the recorded outcome of a key, or the cancellation of the key if there is none.
struct settle_request_fields {
    std::uint64_t term_ = 0;
    std::string key_;
    std::string fingerprint_;

    friend auto operator<=>(const settle_request_fields&, const settle_request_fields&) = default;
    friend bool operator==(const settle_request_fields&, const settle_request_fields&) = default;
};

using settle_request = base::immutable<settle_request_fields>;

enum class settled_outcome : std::uint8_t { done, cancelled };

/// The response to a settle request. It is valid only after the acknowledgement gate has released its
/// position.
struct settle_response_fields {
    /// Set if the database did not settle the key, for example because it is no longer the primary.
    std::optional<refusal> refusal_;
    std::uint64_t term_ = 0;
    settled_outcome outcome_ = settled_outcome::done;
    std::vector<std::string> results_;
    base::log_position position_;

    friend auto operator<=>(const settle_response_fields&, const settle_response_fields&) = default;
    friend bool operator==(const settle_response_fields&, const settle_response_fields&) = default;
};

using settle_response = base::immutable<settle_response_fields>;

/// The endpoint that a request with statements is sent to.
enum class statement_path : std::uint8_t { execute, begin, statement, commit, rollback };

} // namespace backends
