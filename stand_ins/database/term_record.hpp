#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace stand_ins::database {

/// The term that a database has granted and its role in it. Thread safety: immutable value.
class term_record {
public:
    term_record() = default;
    term_record(std::uint64_t term, std::string proposer, std::uint64_t start)
        : term_{term}, proposer_{std::move(proposer)}, start_{start} {}

    [[nodiscard]] std::uint64_t term() const noexcept { return term_; }
    /// Returns to whom the term was granted; empty when it was learned from the term's primary.
    [[nodiscard]] const std::string& proposer() const noexcept { return proposer_; }
    /// Returns the index of the primary's first entry in this term, 0 on a replica.
    [[nodiscard]] std::uint64_t start() const noexcept { return start_; }
    [[nodiscard]] bool is_primary() const noexcept { return start_ != 0; }

    friend auto operator<=>(const term_record&, const term_record&) = default;

private:
    std::uint64_t term_ = 0;
    std::string proposer_;
    std::uint64_t start_ = 0;
};

/// Returns the record after granting `term` to `proposer`, or nothing when it must be refused. A term is
/// granted once: only a greater one, or the same term to the same proposer again.
[[nodiscard]] std::optional<term_record> grant_term(const term_record& current, std::uint64_t term,
                                                    std::string_view proposer);

/// Returns the record of the primary of `term`, or nothing when `proposer` was not granted exactly this term.
/// `next_index` is the index of the entry that starts the term; a promoted database keeps its first one.
[[nodiscard]] std::optional<term_record> promote_in_term(const term_record& current, std::uint64_t term,
                                                         std::string_view proposer, std::uint64_t next_index);

/// Returns the record of a replica of the primary of `term`, or nothing when that primary has been replaced.
[[nodiscard]] std::optional<term_record> follow_term(const term_record& current, std::uint64_t term);

} // namespace stand_ins::database
