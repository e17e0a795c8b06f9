#pragma once

#include <base/clock.hpp>
#include <base/log_position.hpp>

#include <deque>
#include <optional>

namespace backends {

/// Positions of a primary's log, each with a moment before which every acknowledged commit is at or below it.
///
/// A read that may be stale by some duration needs the oldest position that is younger than that. A statement
/// that the primary answered was sent at such a moment, so ordinary traffic keeps the history fresh.
/// Thread safety: owned by one thread. Time is passed in and must not go back.
class position_history {
public:
    /// Notes the position that the primary reported in answer to a question sent at `requested_at`. A
    /// position of a later term drops those of earlier terms, which a takeover may have rolled back in part.
    void note(base::log_position position, base::clock::time_point requested_at);

    /// Returns the oldest position that is young enough for `staleness`, or nothing.
    [[nodiscard]] std::optional<base::log_position> oldest_within(base::clock::duration staleness,
                                                                  base::clock::time_point now) const;

    /// Returns the position that a read of a session needs whose last own commit was at `own`, or nothing
    /// when only the primary can serve it. A commit of an earlier term is covered by any position of a later
    /// one.
    [[nodiscard]] std::optional<base::log_position> required_position(base::clock::duration staleness,
                                                                      std::optional<base::log_position> own,
                                                                      base::clock::time_point now) const;

    /// Forgets everything, because the primary may have changed.
    void clear() noexcept { samples_.clear(); }

private:
    struct sample {
        base::clock::time_point requested_at_;
        base::log_position position_;
    };

    /// In the order of `requested_at_`, at most one for each `spacing`.
    std::deque<sample> samples_;
};

} // namespace backends
