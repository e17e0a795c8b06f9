#pragma once

#include <backends/group_view.hpp>
#include <backends/takeover.hpp>

#include <base/clock.hpp>

#include <compare>
#include <optional>

namespace backends {

/// Decides from the reported statuses whether a group needs a takeover: a majority responds but contains no
/// primary, the primary is leaving, or a database is stuck above the primary's term.
///
/// A missing primary or a split term must persist for a while first, because the same condition occurs while
/// another owner's takeover is in progress. Unresponsive primaries are handled by `failure_detector`.
/// Thread safety: immutable value.
class takeover_trigger {
public:
    /// Updates the condition from the view of the group at `now`.
    [[nodiscard]] takeover_trigger advance(const group_view& view, base::clock::time_point now) const;

    /// Returns the reason for a takeover at `now`; empty when none is needed. `jitter` is added to the delay,
    /// so that several owners do not act at the same time.
    [[nodiscard]] std::optional<takeover_reason> due_reason(base::clock::time_point now,
                                                            base::clock::duration jitter) const;

    friend auto operator<=>(const takeover_trigger&, const takeover_trigger&) = default;

private:
    std::optional<takeover_reason> condition_;
    base::clock::time_point since_{};
};

/// Returns whether the primary of the view may be used: a majority has been heard, so that no primary of a
/// higher term that a majority has granted can be unknown to this owner.
[[nodiscard]] bool has_confirmed_primary(const group_view& view);

/// How long a group may be without a primary before this owner acts: several times the round trips of a
/// takeover.
inline constexpr base::clock::duration no_primary_delay{200};
/// How long a database may stay above the primary's term: longer than a takeover may take.
inline constexpr base::clock::duration term_split_delay{3'000};

} // namespace backends
