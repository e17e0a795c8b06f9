#pragma once

#include <base/log_position.hpp>
#include <stand_ins/database/outcome.hpp>
#include <stand_ins/database/refusal_reason.hpp>
#include <stand_ins/database/state_change.hpp>

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace stand_ins::database {

/// The answer to a statement or to a step of a transaction.
struct database_response {
    /// Set when the request was refused; the other fields but the term are then empty.
    std::optional<refusal_reason> refusal_;
    std::uint64_t term_ = 0;
    /// A caller may be told the results once a majority of the group holds this position.
    base::log_position position_;
    std::vector<std::string> results_;
    /// Whether the results are those recorded when the key was first used.
    bool replayed_ = false;
    /// Set in the answer to a settle request.
    std::optional<outcome::kind> outcome_;

    friend auto operator<=>(const database_response&, const database_response&) = default;
};

/// An answer and the changes that have to be durable before it is sent.
struct decision {
    database_response answer_;
    state_changes changes_;

    friend bool operator==(const decision&, const decision&) = default;
};

} // namespace stand_ins::database
