#pragma once

#include <base/immutable.hpp>
#include <base/log_position.hpp>

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace history {

/// Why an entry is in the log of a database.
enum class entry_kind : std::uint8_t { term_start, write, cancellation };

/// One entry of the log of a database.
struct log_entry_fields {
    base::log_position position_;
    entry_kind kind_ = entry_kind::write;
    std::vector<std::string> statements_;
    /// The idempotency key; empty for none.
    std::string key_;
    std::vector<std::string> results_;

    friend auto operator<=>(const log_entry_fields&, const log_entry_fields&) = default;
    friend bool operator==(const log_entry_fields&, const log_entry_fields&) = default;
};

using log_entry = base::immutable<log_entry_fields>;

/// The whole log of one database after a run.
struct database_log_fields {
    std::string database_;
    std::vector<log_entry> entries_;

    friend auto operator<=>(const database_log_fields&, const database_log_fields&) = default;
    friend bool operator==(const database_log_fields&, const database_log_fields&) = default;
};

using database_log = base::immutable<database_log_fields>;

/// Returns the service of a database that is named `SERVICE_NUMBER`, as in the sample declarations.
[[nodiscard]] std::string service_of(const database_log& log);

/// Returns the position of the last entry; position 0 for an empty log.
[[nodiscard]] base::log_position last_of(const database_log& log) noexcept;

} // namespace history
