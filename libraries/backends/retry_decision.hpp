#pragma once

#include <backends/statement_response.hpp>

#include <compare>
#include <cstdint>

namespace backends {

/// Whether running a statement twice does harm.
enum class statement_effect : std::uint8_t { reads, writes };

/// What to do about a reply that is no success.
enum class retry_decision : std::uint8_t {
    /// Pass it on to the client.
    response,
    /// Tell the client that the statement has not run.
    refuse,
    /// Try another database at once.
    try_another,
    /// Try the same databases again after a short pause.
    pause,
};

/// How often a statement was tried.
struct attempt_counts {
    /// Replies that promise that nothing has run.
    std::uint32_t refused_ = 0;
    /// Replies after which it may have run.
    std::uint32_t failed_ = 0;

    friend auto operator<=>(const attempt_counts&, const attempt_counts&) = default;
};

/// Decides about a reply. `counts` includes it. A write that may have run is never tried again.
/// Thread safety: pure.
[[nodiscard]] retry_decision decide_retry(statement_status status, statement_effect effect,
                                          attempt_counts counts, std::uint32_t most_attempts) noexcept;

} // namespace backends
