#pragma once

#include <backends/reported_position.hpp>
#include <base/clock.hpp>
#include <base/log_position.hpp>

#include <deque>
#include <optional>

namespace backends {

/// A history of a primary's log positions. Each position has a time such that every commit acknowledged
/// before that time is at or below the position.
///
/// A read with a staleness bound requires the oldest position whose time lies within the bound. The time at
/// which a statement was sent to the primary is such a time for the position in its response, so ordinary
/// traffic keeps the history current. Thread safety: owned by one thread. Time is passed in and must not go
/// back.
class position_history {
public:
    /// Records a position that the primary reported. A position of a later term removes those of earlier
    /// terms, which a takeover may have rolled back in part.
    void note(const reported_position& reported);

    /// Returns the oldest position recorded within `staleness` before `now`; empty when there is none.
    [[nodiscard]] std::optional<base::log_position> oldest_within(base::clock::duration staleness,
                                                                  base::clock::time_point now) const;

    /// Returns the position that a replica must have reached to serve a read of a session whose last commit
    /// was at `session_position`; empty when only the primary can serve it. A commit of an earlier term is
    /// covered by any position of a later one.
    [[nodiscard]] std::optional<base::log_position>
    required_position(base::clock::duration staleness, std::optional<base::log_position> session_position,
                      base::clock::time_point now) const;

    /// Returns the newest position; empty when there is none.
    [[nodiscard]] std::optional<base::log_position> newest() const;

    /// Removes all positions, because the primary may have changed.
    void clear() noexcept { samples_.clear(); }

private:
    /// Ordered by `requested_at_`, at least `sample_interval` apart.
    std::deque<reported_position> samples_;
};

} // namespace backends
