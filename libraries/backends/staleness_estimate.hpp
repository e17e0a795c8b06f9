#pragma once

#include <base/clock.hpp>
#include <base/log_position.hpp>

#include <cstddef>
#include <optional>
#include <vector>

namespace backends {

/// Tells how old the data of a replica is at most, from the positions of the primary over time.
///
/// A record (position, time) says that at that time the primary had nothing beyond the position. A replica
/// that holds the position therefore holds everything that was written up to the time. Memory is bounded:
/// when it is full, older records are thinned out, which makes the estimate for a replica far behind coarser
/// but never too small. Thread safety: owned by one thread.
class staleness_estimate {
public:
    static constexpr std::size_t max_records = 128;

    /// Notes a position that the primary reported. `requested_at` is the time at which the question was sent,
    /// not the one at which the answer came: the primary may have written more while the answer was on its
    /// way. Precondition: a majority confirmed the primary's term in answer to a question sent at or after
    /// `requested_at`; a primary that was replaced without knowing would make replicas look fresher than they
    /// are. Reports of an older term and reports that add nothing are ignored.
    void note_primary(base::log_position position, base::clock::time_point requested_at);

    /// Returns how old the data of a replica with this last position is at most, or nothing when the replica
    /// is behind all records or of another term than the primary.
    [[nodiscard]] std::optional<base::clock::duration> max_age(base::log_position replica,
                                                               base::clock::time_point now) const;

    /// Returns how many records are kept.
    [[nodiscard]] std::size_t size() const noexcept { return records_.size(); }

private:
    struct record {
        base::log_position position_;
        base::clock::time_point time_;
    };

    void thin_out();

    /// Both position and time increase strictly.
    std::vector<record> records_;
};

} // namespace backends
