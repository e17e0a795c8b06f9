#pragma once

#include <compare>
#include <cstdint>

namespace base {

/// The position of an entry in the log of a database group: its term and index, ordered by term, then index.
/// The default value precedes the first entry. Thread safety: immutable value.
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
