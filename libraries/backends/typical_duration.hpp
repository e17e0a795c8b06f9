#pragma once

#include <base/clock.hpp>

namespace backends {

/// Estimates how long statements of one kind take at a database without contention, as the lowest recent
/// value of the moving average. Thread safety: owned by one thread.
class typical_duration {
public:
    /// Records how long a statement took at the database.
    void note(base::clock::duration elapsed) noexcept {
        const auto sample = static_cast<double>(elapsed.count());
        mean_ms_ = mean_ms_ == 0 ? sample : mean_ms_ + (sample - mean_ms_) * sample_weight;
        lowest_ms_ = lowest_ms_ == 0 ? mean_ms_ : lowest_ms_ * lowest_growth_factor;
        lowest_ms_ = mean_ms_ < lowest_ms_ ? mean_ms_ : lowest_ms_;
    }

    /// Returns the lowest recent moving average; 0 before the first statement.
    [[nodiscard]] double lowest_ms() const noexcept { return lowest_ms_; }

private:
    static constexpr double sample_weight = 0.05;
    // Lets the minimum follow a lasting change of the workload within a few hundred statements.
    static constexpr double lowest_growth_factor = 1.001;

    double mean_ms_ = 0;
    double lowest_ms_ = 0;
};

} // namespace backends
