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

/// The messages of the database interface in no wire format.
namespace backends {

/// Asks a database to hold its status back until it has something new.
struct status_wait {
    /// Answer when the last entry or the term is beyond this position.
    base::log_position beyond_;
    /// Answer after this time in any case.
    base::clock::duration time_{0};

    friend auto operator<=>(const status_wait&, const status_wait&) = default;
};

/// The answer to a raise or a promote.
struct term_response {
    /// Whether the database granted the term, or is now its primary.
    bool accepted_ = false;
    /// The database's own term.
    std::uint64_t term_ = 0;
    base::log_position last_;

    friend auto operator<=>(const term_response&, const term_response&) = default;
};

/// Statements for a database. `begin`, `statement`, `commit` and `rollback` take the same fields.
struct execute_request_fields {
    std::uint64_t term_ = 0;
    base::access access_ = base::access::read;
    std::vector<std::string> statements_;
    /// The idempotency key; empty without one.
    std::optional<std::string> key_;
    /// A digest of the request's content; empty without a key.
    std::string fingerprint_;
    /// For a read from a replica: the position that it must have reached.
    std::optional<base::log_position> minimum_;

    friend auto operator<=>(const execute_request_fields&, const execute_request_fields&) = default;
    friend bool operator==(const execute_request_fields&, const execute_request_fields&) = default;
};

using execute_request = base::immutable<execute_request_fields>;

/// The answer to statements: done, or refused for a reason.
struct execute_response_fields {
    /// Empty when the statements ran.
    std::optional<refusal> refusal_;
    /// The term of the answer.
    std::uint64_t term_ = 0;
    /// Where the answer stands in the group's log; meaningful only without a refusal.
    base::log_position position_;
    std::vector<std::string> results_;
    /// Whether the results are those recorded for the key by an earlier execution.
    bool replayed_ = false;

    friend auto operator<=>(const execute_response_fields&, const execute_response_fields&) = default;
    friend bool operator==(const execute_response_fields&, const execute_response_fields&) = default;
};

using execute_response = base::immutable<execute_response_fields>;

/// Asks for the recorded outcome of a key, or to cancel the key if there is none.
struct settle_request_fields {
    std::uint64_t term_ = 0;
    std::string key_;
    std::string fingerprint_;

    friend auto operator<=>(const settle_request_fields&, const settle_request_fields&) = default;
    friend bool operator==(const settle_request_fields&, const settle_request_fields&) = default;
};

using settle_request = base::immutable<settle_request_fields>;

enum class settled_outcome : std::uint8_t { done, cancelled };

/// The answer to a settle request. It counts only after its position has passed the gate.
struct settle_response_fields {
    /// Set when the database did not settle, for example because it is no longer primary.
    std::optional<refusal> refusal_;
    std::uint64_t term_ = 0;
    settled_outcome outcome_ = settled_outcome::done;
    std::vector<std::string> results_;
    base::log_position position_;

    friend auto operator<=>(const settle_response_fields&, const settle_response_fields&) = default;
    friend bool operator==(const settle_response_fields&, const settle_response_fields&) = default;
};

using settle_response = base::immutable<settle_response_fields>;

/// Which of the statement paths a request takes.
enum class statement_path : std::uint8_t { execute, begin, statement, commit, rollback };

} // namespace backends
