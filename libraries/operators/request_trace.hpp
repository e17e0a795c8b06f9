#pragma once

#include <operators/log_line.hpp>

#include <compare>
#include <string>
#include <vector>

namespace operators {

/// What the logs of the session daemons tell about one request.
struct request_trace {
    /// The lines of the request, in the order of their times.
    std::vector<log_line> own_lines_;
    /// The lines around it that show why it ended as it did, in the order of their times.
    std::vector<log_line> related_lines_;
    /// What happened and why, in one or two sentences.
    std::string conclusion_;

    friend auto operator<=>(const request_trace&, const request_trace&) = default;
};

/// Follows a request from its id to its cause, as docs/OPERATIONS.md describes it. `lines` may hold the logs
/// of any number of daemons in any order. Thread safety: pure function.
[[nodiscard]] request_trace trace_request(const std::string& id, const std::vector<log_line>& lines);

} // namespace operators
