#pragma once

#include <stand_ins/database/database_request.hpp>
#include <stand_ins/database/database_response.hpp>
#include <stand_ins/database/database_state.hpp>

#include <optional>
#include <string_view>

namespace stand_ins::database {

/// Returns the answer that refuses a request for `reason`.
[[nodiscard]] database_response refuse(const database_state& state, refusal_reason reason);

/// Returns why this database must not serve the request now: another term, another role, or a replica that is
/// behind; nothing when it may.
[[nodiscard]] std::optional<refusal_reason> check_place(const database_state& state,
                                                        const database_request& request);

/// Returns the answer that the record for the request's key determines; nothing when the key is empty or new.
[[nodiscard]] std::optional<database_response>
response_from_record(const database_state& state, const std::string& key, const std::string& fingerprint);

/// Decides a request to run statements.
[[nodiscard]] decision decide_execute(const database_state& state, const database_request& request);

/// Decides a request for the outcome of a key. A key without an outcome is cancelled in the same decision.
[[nodiscard]] decision decide_settle(const database_state& state, const database_request& request);

/// Decides a takeover's request for a term; no changes and no grant when it is refused.
struct raise_decision {
    bool granted_ = false;
    state_changes changes_;
};
[[nodiscard]] raise_decision decide_raise(const database_state& state, const database_request& request);

/// Decides a takeover's request to become primary; the first grant appends the entry that starts the term.
struct promote_decision {
    bool promoted_ = false;
    state_changes changes_;
};
[[nodiscard]] promote_decision decide_promote(const database_state& state, const database_request& request);

/// Returns the changes that make a new database the primary of term 1 of a new group.
[[nodiscard]] state_changes start_group();

/// Returns the changes that make an empty database a replica of a new group. It counts as having granted the
/// first term, so that no takeover can promote a second primary in it.
[[nodiscard]] state_changes join_group();

} // namespace stand_ins::database
