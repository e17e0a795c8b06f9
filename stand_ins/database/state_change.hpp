#pragma once

#include <stand_ins/database/log_entry.hpp>
#include <stand_ins/database/term_record.hpp>

#include <compare>
#include <cstdint>
#include <variant>
#include <vector>

namespace stand_ins::database {

/// Removes every entry after an index.
struct truncation {
    std::uint64_t last_kept_ = 0;

    friend auto operator<=>(const truncation&, const truncation&) = default;
};

/// One durable change: decisions return changes, the journal keeps them and the state applies them.
using state_change = std::variant<term_record, log_entry, truncation>;
using state_changes = std::vector<state_change>;

} // namespace stand_ins::database
