#pragma once

#include <base/clock.hpp>

#include <cstdint>

namespace backends {

/// Tells from how long statements take whether a database's own queue has grown long.
///
/// The mean of recent statements is compared with the lowest mean of the last while. A long queue at the
/// database takes the order of statements out of this daemon's hands, so fewer are sent there meanwhile.
/// Thread safety: owned by one thread.
class congestion_estimate {
public:
    /// Notes how long a statement took at the database.
    void note(base::clock::duration length) noexcept {
        const auto sample = static_cast<double>(length.count());
        mean_ms_ = mean_ms_ == 0 ? sample : mean_ms_ + (sample - mean_ms_) * weight_of_newest;
        lowest_ms_ = lowest_ms_ == 0 ? mean_ms_ : lowest_ms_ * growth_of_lowest;
        lowest_ms_ = mean_ms_ < lowest_ms_ ? mean_ms_ : lowest_ms_;
    }

    [[nodiscard]] bool is_congested() const noexcept {
        return mean_ms_ > lowest_ms_ * congested_ratio + timer_error_ms;
    }

private:
    static constexpr double weight_of_newest = 0.05;
    // Lets the lowest mean follow a lasting change of the work within some hundred statements.
    static constexpr double growth_of_lowest = 1.001;
    // At twice the usual time half of it is spent waiting.
    static constexpr double congested_ratio = 2.0;
    static constexpr double timer_error_ms = 1.0;

    double mean_ms_ = 0;
    double lowest_ms_ = 0;
};

/// Returns how many statements of one priority this daemon keeps under way at a database.
///
/// The most urgent priority may always use one slot more than the others, so that it does not wait behind
/// them here; the others get half as many while the database's own queue is long. Precondition: `daemons` and
/// `slots` are positive.
[[nodiscard]] std::uint32_t most_statements(std::uint32_t slots, std::uint32_t daemons,
                                            std::uint32_t priority, bool is_congested) noexcept;

} // namespace backends
