#pragma once

#include <compare>
#include <cstdint>

namespace base {

/// A place in the log of a database group: the term of the entry and its index. Ordered by term, then index.
/// Position 0 of term 0 stands before the first entry. Thread safety: immutable value.
class log_position {
public:
    constexpr log_position() noexcept = default;
    constexpr log_position(std::uint64_t term, std::uint64_t index) noexcept : term_{term}, index_{index} {}

    /// Returns the term in which the entry was written.
    [[nodiscard]] constexpr std::uint64_t term() const noexcept { return term_; }
    /// Returns the index of the entry in the group's log, counted from 1.
    [[nodiscard]] constexpr std::uint64_t index() const noexcept { return index_; }

    friend constexpr auto operator<=>(const log_position&, const log_position&) noexcept = default;

private:
    std::uint64_t term_ = 0;
    std::uint64_t index_ = 0;
};

} // namespace base
