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

/// The result of one attempt to serve a request.
struct attempt_fields {
    backends::attempt_end end_ = backends::attempt_end::not_sent;
    /// Set exactly when `end_` is `refused`.
    std::optional<backends::refusal> refusal_;
    std::vector<std::string> results_;
    /// Position of the response in the group's log; meaningful if `end_` is `released` or `settled_done`.
    base::log_position position_;
    base::database_role served_by_ = base::database_role::none;
    /// Why the attempt failed, for the error message.
    std::string reason_;
    /// Set if the queue refused the request, with the retry delay in `retry_after_`.
    std::optional<base::error> shed_;
    base::clock::duration retry_after_{0};

    friend auto operator<=>(const attempt_fields&, const attempt_fields&) = default;
    friend bool operator==(const attempt_fields&, const attempt_fields&) = default;
};

using attempt = base::immutable<attempt_fields>;

/// Returns an attempt that ended without a result.
[[nodiscard]] attempt failed_attempt(backends::attempt_end end, std::string reason);

/// Returns an attempt that a database refused. Such an attempt has provably not run.
[[nodiscard]] attempt refused_attempt(backends::refusal refusal);

/// Returns the final response to a request after its last attempt. Precondition: `decision` is to respond,
/// not to make another attempt.
[[nodiscard]] base::response make_final_response(const attempt& last,
                                                 const backends::outcome_decision& decision);

/// Sets the position that the caller's session continues from: a write, or a read without a token, advances
/// it; other reads keep it.
[[nodiscard]] base::response update_session_position(const base::response& response,
                                                     const base::request& request);

} // namespace proxy
