#pragma once

#include <base/clock.hpp>
#include <base/log_position.hpp>

#include <cstddef>
#include <optional>
#include <vector>

namespace backends {

/// Estimates an upper bound for the age of a replica's data from the positions of the primary over time.
///
/// A record (position, time) means that at that time the primary's log did not extend beyond the position. A
/// replica that holds the position therefore holds everything that was written up to that time. Memory is
/// bounded: when it is full, every second one of the older records is removed, which makes the estimate for a
/// replica far behind coarser but never too small. Thread safety: owned by one thread.
class staleness_estimate {
public:
    static constexpr std::size_t max_records = 128;

    /// Records a position that the primary reported. `requested_at` is the time at which the request was
    /// sent, not the one at which the response arrived: the primary may have written more while the response
    /// was in transit. Precondition: a majority confirmed the primary's term in response to a request sent at
    /// or after `requested_at`; a primary that was replaced without knowing it would make replicas appear
    /// fresher than they are. Reports of an older term and reports without new information are ignored.
    void note_primary(base::log_position position, base::clock::time_point requested_at);

    /// Returns the maximum age of the data of a replica with this last position; empty when the replica is
    /// behind all records or in another term than the primary.
    [[nodiscard]] std::optional<base::clock::duration> max_age(base::log_position replica,
                                                               base::clock::time_point now) const;

    /// Returns the number of records.
    [[nodiscard]] std::size_t size() const noexcept { return records_.size(); }

private:
    struct record {
        base::log_position position_;
        base::clock::time_point time_;
    };

    void thin_out();

    /// Ordered; both position and time increase strictly.
    std::vector<record> records_;
};

} // namespace backends
