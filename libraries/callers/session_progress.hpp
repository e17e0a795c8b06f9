#pragma once

#include <callers/statement.hpp>

#include <compare>
#include <cstdint>

namespace callers {

/// Where a session stands between its transactions.
enum class session_phase : std::uint8_t {
    /// Outside any transaction.
    idle,
    /// A transaction was begun, and no database has been chosen for it yet.
    begun,
    /// A transaction is open at a database.
    open,
    /// The transaction failed; only its end is accepted.
    failed,
};

/// What a statement means in the phase that its session is in.
enum class session_step : std::uint8_t {
    /// Answered without a database.
    store_value,
    store_prepared,
    remove_prepared,
    begin,
    /// Ends a transaction that no database knows.
    end_unstarted,
    /// Runs alone.
    run_single,
    /// Runs inside the transaction.
    run_in_transaction,
    commit,
    rollback,
    /// Ends a failed transaction, which rolls back.
    end_failed,
    refuse_malformed,
};

/// Decides what a statement means. Thread safety: pure.
[[nodiscard]] session_step decide_step(session_phase phase, statement_kind kind) noexcept;

} // namespace callers
