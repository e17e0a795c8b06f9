#pragma once

#include <callers/statement.hpp>

#include <compare>
#include <cstdint>

namespace callers {

/// The transaction state of a session.
enum class session_phase : std::uint8_t {
    /// No transaction is active.
    idle,
    /// A transaction was started, but has not been assigned to a database yet.
    begun,
    /// A transaction is open on a database.
    open,
    /// The transaction failed; only commit or rollback is accepted.
    failed,
};

/// The action that a statement requires in the current phase of its session.
enum class session_step : std::uint8_t {
    /// This step and the next two change values of the session and need no database.
    store_value,
    store_prepared,
    remove_prepared,
    begin,
    /// Ends a transaction that was not assigned to a database.
    end_unstarted,
    /// Runs outside a transaction.
    run_single,
    /// Runs inside the transaction.
    run_in_transaction,
    commit,
    rollback,
    /// Ends a failed transaction by rolling it back.
    end_failed,
    refuse_malformed,
};

/// Returns the step for a statement of the given kind. Thread safety: pure function.
[[nodiscard]] session_step decide_step(session_phase phase, statement_kind kind) noexcept;

} // namespace callers
