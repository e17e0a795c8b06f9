#pragma once

#include <base/clock.hpp>
#include <daemons/throttle_notice.hpp>

#include <compare>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace daemons {

/// The maximum time for which one notice applies, however long the backlog.
inline constexpr base::clock::duration max_throttle_duration{1'000};

/// The throttle notices of one owner that apply at an entry daemon.
///
/// A notice expires after at most `max_throttle_duration`, so that a rank cannot stay throttled forever when
/// the next notice is lost. Complexity: `find_refusal` is logarithmic in the number of throttled ranks,
/// `with` linear. Thread safety: immutable value.
class throttle_table {
public:
    /// Maximum number of entries, one for each throttled group, rank and role; requests of further ones are
    /// admitted.
    static constexpr std::size_t max_entries = 10'000;

    /// Returns a table with the notices added, which replace older ones of the same group, rank and role, and
    /// without expired notices.
    [[nodiscard]] throttle_table with(std::span<const throttle_notice> notices,
                                      base::clock::time_point now) const;

    /// Returns nothing when a request may be forwarded to the owner, otherwise the time after which the
    /// caller may retry. `random` decides which part of the requests is admitted.
    [[nodiscard]] std::optional<base::clock::duration>
    find_refusal(std::string_view group, std::string_view rank, base::database_role role,
                 base::clock::time_point now, std::uint64_t random) const;

    /// Returns the number of entries, including those that have expired since the last change.
    [[nodiscard]] std::size_t size() const noexcept { return entries_.size(); }

    friend auto operator<=>(const throttle_table&, const throttle_table&) = default;

private:
    struct entry {
        std::string group_;
        std::string rank_;
        base::database_role role_ = base::database_role::primary;
        std::uint32_t percent_ = 0;
        base::clock::time_point expiry_;

        friend auto operator<=>(const entry&, const entry&) = default;
    };

    /// Sorted by group, rank and role, each combination once.
    std::vector<entry> entries_;
};

} // namespace daemons
