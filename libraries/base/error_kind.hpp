#pragma once

#include <string_view>

namespace base {

/// The kinds of errors that callers, operators and daemons see. Each has one name on the wire and one remedy.
enum class error_kind {
    invalid_request,
    too_large,
    unknown_service,
    unknown_rank,
    unknown_transaction,
    token_invalid,
    token_foreign,
    key_conflict,
    key_cancelled,
    statement_invalid,
    deadline_expired,
    overloaded,
    no_primary,
    term_stale,
    backend_unavailable,
    answer_lost,
    transaction_aborted,
    shutting_down,
    peer_unavailable,
    frame_invalid,
    platform_unavailable,
    history_lost,
    publish_conflict,
    settings_invalid,
    declaration_invalid,
    not_found,
    timeout,
    connection_failed,
    internal,
};

/// Returns the wire name of a kind, for example `unknown_service`.
[[nodiscard]] std::string_view name_of(error_kind kind) noexcept;

/// Returns what the recipient of an error of this kind can do about it.
[[nodiscard]] std::string_view remedy_for(error_kind kind) noexcept;

/// Returns the kind with this wire name, or `error_kind::internal` for an unknown name.
[[nodiscard]] error_kind error_kind_from_name(std::string_view name) noexcept;

} // namespace base
