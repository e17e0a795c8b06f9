#pragma once

#include <backends/group_view.hpp>
#include <backends/takeover.hpp>

#include <base/clock.hpp>

#include <compare>
#include <optional>

namespace backends {

/// Decides from the statuses alone whether a group needs a takeover: a majority answers and none of it is
/// primary, the primary is leaving, or a database is stuck above the primary's term.
///
/// A condition has to last for a while first, because the takeover of another home looks the same while it is
/// under way. A primary that does not answer is the matter of `failure_detector`.
/// Thread safety: immutable value.
class takeover_trigger {
public:
    /// Takes what is known of the group at `now`.
    [[nodiscard]] takeover_trigger advance(const group_view& view, base::clock::time_point now) const;

    /// Returns why a takeover is due at `now`; empty when none is. `jitter` keeps homes from acting together.
    [[nodiscard]] std::optional<takeover_reason> due_reason(base::clock::time_point now,
                                                            base::clock::duration jitter) const;

    friend auto operator<=>(const takeover_trigger&, const takeover_trigger&) = default;

private:
    std::optional<takeover_reason> condition_;
    base::clock::time_point since_{};
};

/// Returns whether the primary of the view may be used: a majority has been heard, so that no primary of a
/// higher term that a majority granted can be hidden from this home.
[[nodiscard]] bool is_discovered(const group_view& view);

/// How long a group may be without a primary before this home acts; several times a takeover's round trips.
inline constexpr base::clock::duration no_primary_delay{200};
/// How long a database may stay above the primary's term: longer than a takeover may take.
inline constexpr base::clock::duration term_split_time{3'000};

} // namespace backends
