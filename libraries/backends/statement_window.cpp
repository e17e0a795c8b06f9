#include <backends/statement_window.hpp>

#include <algorithm>

namespace backends {

namespace {

constexpr double sample_weight = 0.2;
// Statements take twice their typical duration at databases with few slots well before all slots are in use.
constexpr double max_duration_ratio = 3.0;
constexpr double timer_error_ms = 1.0;
constexpr double min_shrink_factor = 0.5;
constexpr double shrink_weight = 0.3;
constexpr double growth_factor = 1.03;
constexpr double refusal_factor = 0.7;
constexpr double min_fraction = 0.01;
// However small the window is, one statement is sent after this delay to find out whether the database has
// recovered.
constexpr base::clock::duration max_start_delay{500};

} // namespace

std::uint32_t normal_window(std::uint32_t slots, std::uint32_t daemons) noexcept {
    const auto equal_share = (2 * slots + daemons - 1) / daemons;
    return std::max({2U, (slots + 1) / 2, equal_share});
}

void statement_window::note_response(base::clock::duration elapsed, std::uint32_t priority,
                                     base::clock::time_point now) noexcept {
    auto& typical = typical_.at(std::min<std::size_t>(priority, priority_classes - 1));
    typical.note(elapsed);
    const auto sample = static_cast<double>(elapsed.count());
    recent_ms_ = recent_ms_ == 0 ? sample : recent_ms_ + (sample - recent_ms_) * sample_weight;
    const auto ratio = sample / (typical.lowest_ms() + timer_error_ms);
    recent_ratio_ += (ratio - recent_ratio_) * sample_weight;
    last_response_ = now;
    if (recent_ratio_ <= max_duration_ratio) {
        fraction_ = std::min(fraction_ * growth_factor, 1.0);
        return;
    }
    const auto target = fraction_ * std::max(max_duration_ratio / recent_ratio_, min_shrink_factor);
    fraction_ = std::max(fraction_ + (target - fraction_) * shrink_weight, min_fraction);
}

void statement_window::note_refused(base::clock::time_point now) noexcept {
    fraction_ = std::max(fraction_ * refusal_factor, min_fraction);
    last_response_ = now;
}

double statement_window::size(std::uint32_t slots, std::uint32_t daemons,
                              std::uint32_t priority) const noexcept {
    const auto normal = normal_window(slots, daemons);
    if (priority == 0) {
        return normal + 1;
    }
    // Lower priorities get a smaller window. Otherwise daemons that have only such statements would send them
    // ahead of the more urgent statements of other daemons.
    return fraction_ < 1 ? fraction_ * normal / priority : normal;
}

base::clock::time_point statement_window::next_start(std::uint32_t slots, std::uint32_t daemons,
                                                     std::uint32_t priority) const noexcept {
    const auto window = size(slots, daemons, priority);
    if (window >= 1) {
        return last_response_;
    }
    const auto delay = recent_ms_ * (1 / window - 1);
    const auto limit = std::min(delay, static_cast<double>(max_start_delay.count()));
    return last_response_ + base::clock::duration{static_cast<base::clock::rep>(limit)};
}

std::uint32_t statement_window::max_running(std::uint32_t slots, std::uint32_t daemons,
                                            std::uint32_t priority,
                                            base::clock::time_point now) const noexcept {
    const auto window = size(slots, daemons, priority);
    if (window >= 1) {
        return static_cast<std::uint32_t>(window);
    }
    return now >= next_start(slots, daemons, priority) ? 1 : 0;
}

} // namespace backends
