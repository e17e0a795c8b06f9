#pragma once

#include <backends/outcome_decision.hpp>
#include <base/clock.hpp>
#include <base/immutable.hpp>
#include <base/log_position.hpp>
#include <base/request.hpp>
#include <base/response.hpp>

#include <compare>
#include <optional>
#include <string>
#include <vector>

namespace proxy {

/// How one attempt to serve a request ended, and what it brought.
struct attempt_fields {
    backends::attempt_end end_ = backends::attempt_end::not_sent;
    /// Set exactly when `end_` is `refused`.
    std::optional<backends::refusal> refusal_;
    std::vector<std::string> results_;
    /// Where the answer stands in the group's log; meaningful when `end_` is `released` or `settled_done`.
    base::log_position position_;
    base::database_role served_by_ = base::database_role::none;
    /// What happened, for the message of an error.
    std::string reason_;
    /// Set when the queue refused the request: its own error and when to come back.
    std::optional<base::error> shed_;
    base::clock::duration retry_after_{0};

    friend auto operator<=>(const attempt_fields&, const attempt_fields&) = default;
    friend bool operator==(const attempt_fields&, const attempt_fields&) = default;
};

using attempt = base::immutable<attempt_fields>;

/// Returns an attempt that ended without a result.
[[nodiscard]] attempt failed_attempt(backends::attempt_end end, std::string reason);

/// Returns an attempt that a database refused, so that it provably did not run.
[[nodiscard]] attempt refused_attempt(backends::refusal refusal);

/// Returns the answer for an attempt after which nothing more is tried. Precondition: `decision` asks for an
/// answer, not for another attempt.
[[nodiscard]] base::response conclude(const attempt& last, const backends::outcome_decision& decision);

/// Tells the session where it stands: a write or a read without a token moves it on, other reads do not.
[[nodiscard]] base::response with_session(const base::response& response, const base::request& request);

} // namespace proxy
