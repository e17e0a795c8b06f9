#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace base {

/// Whether a prepared statement reads or writes.
enum class prepared_effect : std::uint8_t { reads, writes };

/// A statement prepared by a session. Sessions that prepare the same text share one prepared statement on a
/// database connection.
struct prepared_statement {
    prepared_effect effect_ = prepared_effect::reads;
    std::string text_;

    friend auto operator<=>(const prepared_statement&, const prepared_statement&) = default;
};

} // namespace base
