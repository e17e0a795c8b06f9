#pragma once

#include <base/immutable.hpp>
#include <base/log_position.hpp>

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace stand_ins::database {

/// Why an entry is in the log.
enum class entry_kind : std::uint8_t { term_start, write, cancellation };

/// One entry of a group's log. An entry with a key records the outcome for that key.
struct log_entry_fields {
    base::log_position position_;
    entry_kind kind_ = entry_kind::write;
    std::vector<std::string> statements_;
    /// The idempotency key; empty when the request had none.
    std::string key_;
    std::string fingerprint_;
    std::vector<std::string> results_;

    friend auto operator<=>(const log_entry_fields&, const log_entry_fields&) = default;
    friend bool operator==(const log_entry_fields&, const log_entry_fields&) = default;
};

using log_entry = base::immutable<log_entry_fields>;

} // namespace stand_ins::database
