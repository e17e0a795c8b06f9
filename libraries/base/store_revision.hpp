#pragma once

#include <compare>
#include <cstdint>

namespace base {

/// A history of the platform's store. The store's responses state its number, which rises by one each time
/// the store comes back from an older copy of its contents. `unstated` is the history of a store that states
/// none.
enum class store_era : std::uint64_t { unstated = 0 };

/// The greatest number of a history that a response may state.
inline constexpr std::uint64_t max_store_era = 9'000'000;

[[nodiscard]] constexpr std::uint64_t number_of(store_era era) noexcept {
    return static_cast<std::uint64_t>(era);
}

/// A revision of the platform's store in one of its histories. Number 0 stands for a key that does not exist.
///
/// The store gives the same numbers out again after it has come back from a copy, so revisions of two
/// histories are unordered: each of `<`, `>`, `<=` and `>=` is false. Thread safety: immutable value.
class store_revision {
public:
    constexpr store_revision() noexcept = default;
    constexpr store_revision(store_era era, std::uint64_t number) noexcept : era_{era}, number_{number} {}

    /// Returns the history in which the store gave the revision out or was read at it.
    [[nodiscard]] constexpr store_era era() const noexcept { return era_; }
    [[nodiscard]] constexpr std::uint64_t number() const noexcept { return number_; }

    /// Returns whether this revision was given out after another one. Precondition: the era of each is the
    /// one in which the store gave it out, so that no two changes share a revision.
    [[nodiscard]] constexpr bool is_later_than(const store_revision& other) const noexcept {
        return era_ == other.era_ ? number_ > other.number_ : era_ > other.era_;
    }

    friend constexpr std::partial_ordering operator<=>(const store_revision& first,
                                                       const store_revision& second) noexcept {
        return first.era_ == second.era_ ? std::partial_ordering{first.number_ <=> second.number_}
                                         : std::partial_ordering::unordered;
    }
    friend constexpr bool operator==(const store_revision&, const store_revision&) noexcept = default;

private:
    store_era era_ = store_era::unstated;
    std::uint64_t number_ = 0;
};

} // namespace base
