#pragma once

#include <base/immutable.hpp>
#include <stand_ins/database/decisions.hpp>
#include <stand_ins/database/statements.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace stand_ins::database {

/// An open transaction: what it was begun with and what it has done so far. Its writes are visible to itself
/// only until they are committed in one entry.
struct transaction_fields {
    std::uint64_t term_ = 0;
    /// The index of the last entry that the transaction sees.
    std::uint64_t begun_at_ = 0;
    access_kind access_ = access_kind::read;
    std::vector<std::string> statements_;
    evaluation effect_;

    friend bool operator==(const transaction_fields&, const transaction_fields&) = default;
};

using transaction = base::immutable<transaction_fields>;

/// The answer to a step; the transaction goes on only when there is one in it.
struct step_decision {
    database_response answer_;
    std::optional<transaction> next_;
};

/// Opens a transaction and runs the statements of the request in it.
[[nodiscard]] step_decision begin_transaction(const database_state& state, const database_request& request);

/// Runs statements in a transaction. A statement that cannot be run leaves the transaction as it was; a key
/// that another request has written since the transaction began ends it with `write_conflict`.
[[nodiscard]] step_decision continue_transaction(const database_state& state, const transaction& open,
                                                 const database_request& request);

/// Ends a transaction: all its writes become one entry, or none are made. The key and the fingerprint are
/// those of the commit request; the results are those of the whole transaction.
[[nodiscard]] decision commit_transaction(const database_state& state, const transaction& open,
                                          const database_request& request);

} // namespace stand_ins::database
