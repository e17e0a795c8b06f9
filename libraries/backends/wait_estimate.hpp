#pragma once

#include <base/clock.hpp>

#include <cstddef>

namespace backends {

/// Estimates how long a statement waits in a queue from the durations of recent statements.
/// Thread safety: owned by one thread.
class wait_estimate {
public:
    /// Records how long a statement took at its database.
    void note(base::clock::duration elapsed) noexcept {
        mean_ms_ += (static_cast<double>(elapsed.count()) - mean_ms_) * sample_weight;
    }

    /// Returns the expected wait behind `ahead` statements, for databases that together run `capacity`
    /// statements at a time.
    /// Precondition: `capacity` is positive.
    [[nodiscard]] base::clock::duration wait_for(std::size_t ahead, double capacity) const noexcept {
        const auto rounds = static_cast<double>(ahead) / capacity;
        return base::clock::duration{static_cast<std::int64_t>(rounds * mean_ms_)};
    }

    [[nodiscard]] double mean_ms() const noexcept { return mean_ms_; }

private:
    static constexpr double sample_weight = 0.05;
    double mean_ms_ = 10.0;
};

} // namespace backends
