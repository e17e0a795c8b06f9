#pragma once

#include <backends/statement_response.hpp>

#include <compare>
#include <cstdint>

namespace backends {

/// Whether a statement has effects, so that running it twice could do harm.
enum class statement_effect : std::uint8_t { reads, writes };

/// What to do about an unsuccessful response.
enum class retry_decision : std::uint8_t {
    /// Return it to the client.
    respond,
    /// Report to the client that the statement has not run.
    refuse,
    /// Retry at another database immediately.
    try_another,
    /// Retry at the same databases after a short delay.
    retry_later,
};

/// The unsuccessful attempts at a statement so far.
struct attempt_counts {
    /// Responses that guarantee that the statement has not run.
    std::uint32_t refused_ = 0;
    /// Responses after which the statement may have run.
    std::uint32_t failed_ = 0;

    friend auto operator<=>(const attempt_counts&, const attempt_counts&) = default;
};

/// Decides what follows an unsuccessful response, which `counts` already includes. A write that may have run
/// is never retried. Thread safety: pure.
[[nodiscard]] retry_decision decide_retry(statement_status status, statement_effect effect,
                                          attempt_counts counts, std::uint32_t max_attempts) noexcept;

} // namespace backends
