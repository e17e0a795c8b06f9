#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace history {

/// What a history may break.
enum class rule : std::uint8_t {
    /// A write was acknowledged and is not in the log.
    acknowledged_write_lost,
    /// One request, or one idempotency key, has more than one entry.
    write_doubled,
    /// An entry holds other statements than the request it belongs to.
    statements_mixed,
    /// A request was reported as not run and has an entry.
    not_run_ran,
    /// A session read a value older than its own last acknowledged write.
    stale_read,
    /// An answer cannot be the answer to its request.
    foreign_answer,
    /// Two databases have different entries at one position.
    logs_disagree,
    /// A service was asked and no log of its databases was given, so nothing about it can be decided.
    logs_missing,
};

/// Returns the name of a rule as reports show it.
[[nodiscard]] std::string_view name_of(rule broken) noexcept;

/// One case in which a rule was broken.
struct violation {
    rule rule_ = rule::acknowledged_write_lost;
    std::string service_;
    std::string message_;

    friend auto operator<=>(const violation&, const violation&) = default;
};

} // namespace history
