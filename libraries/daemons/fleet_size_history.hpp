#pragma once

#include <base/clock.hpp>

#include <cstddef>
#include <deque>

namespace daemons {

/// How many daemons may be running. A daemon that is cut off loses its registration, but may go on serving
/// clients, so the number of registrations of the last minutes counts that was the greatest. Thread safety:
/// used by one thread only. The caller passes the time.
class fleet_size_history {
public:
    /// Records a number of registered daemons.
    void note(std::size_t daemons, base::clock::time_point now);
    /// Returns the greatest number of the retention period; 0 if none was recorded.
    [[nodiscard]] std::size_t greatest(base::clock::time_point now) const noexcept;

    /// As long as the leader remembers daemons that are not registered any more.
    static constexpr base::clock::duration retention{120'000};

private:
    struct sample {
        std::size_t daemons_ = 0;
        base::clock::time_point last_seen_{};
    };
    /// In descending order of the numbers.
    std::deque<sample> samples_;
};

} // namespace daemons
