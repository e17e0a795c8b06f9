#pragma once

#include <compare>
#include <string>
#include <string_view>

namespace history {

/// A statement of the stand-in database in its parts: `get k`, `set k v`, `add k n`, `append k v`.
struct statement {
    std::string verb_;
    std::string key_;
    std::string operand_;

    friend auto operator<=>(const statement&, const statement&) = default;
};

/// Splits the text of a statement at its first two spaces; parts that are absent are empty.
[[nodiscard]] statement split_statement(std::string_view text);

} // namespace history
