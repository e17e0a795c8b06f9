#pragma once

#include <cstdint>
#include <string_view>

namespace stand_ins::database {

/// Why a request provably did not run.
enum class refusal_reason : std::uint8_t {
    term_stale,
    not_primary,
    behind,
    cancelled,
    key_conflict,
    slots_busy,
    leaving,
    bad_statement,
    no_transaction,
    write_conflict,
};

/// Returns the name of a reason on the wire.
[[nodiscard]] std::string_view name_of(refusal_reason reason) noexcept;

} // namespace stand_ins::database
