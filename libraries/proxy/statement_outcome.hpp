#pragma once

#include <backends/statement_response.hpp>
#include <base/clock.hpp>
#include <proxy/session_counters.hpp>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>

namespace proxy {

/// What the log states of a statement besides its response.
struct statement_summary {
    std::string id_;
    /// The name of the route.
    std::string database_;
    /// `-` for each of the following texts that does not apply.
    std::string service_;
    std::string tenant_;
    /// The client's name of the prepared statement that it executed.
    std::string prepared_;
    base::clock::duration elapsed_{0};
    std::uint64_t configuration_ = 0;
    /// For how long a newer configuration has been known.
    base::clock::duration behind_{0};
    /// Remaining duration of the primary lease.
    base::clock::duration lease_left_{0};

    friend auto operator<=>(const statement_summary&, const statement_summary&) = default;
};

/// A longer name of a prepared statement is cut in the log.
inline constexpr std::size_t max_logged_name = 64;

/// Counts a statement by its outcome. Thread safety: any thread.
void count_outcome(session_counters& counters, backends::statement_status status) noexcept;

/// Logs the outcome of a statement. Thread safety: any thread.
void log_outcome(const statement_summary& summary, const backends::statement_response& response);

} // namespace proxy
