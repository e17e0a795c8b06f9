#include <backends/statement_window.hpp>

#include <algorithm>

namespace backends {

namespace {

constexpr double weight_of_newest = 0.2;
// Databases with few slots reach twice the usual time well before they are full.
constexpr double tolerated_ratio = 3.0;
constexpr double timer_error_ms = 1.0;
constexpr double fastest_shrinking = 0.5;
constexpr double shrinking_weight = 0.3;
constexpr double growth = 1.03;
constexpr double part_after_refusal = 0.7;
constexpr double least_part = 0.01;
// However small the window, one statement after this pause shows whether the database is free again.
constexpr base::clock::duration longest_pause{500};

} // namespace

std::uint32_t usual_statements(std::uint32_t slots, std::uint32_t daemons) noexcept {
    const auto equal_share = (2 * slots + daemons - 1) / daemons;
    return std::max({2U, (slots + 1) / 2, equal_share});
}

void statement_window::note_response(base::clock::duration length, std::uint32_t priority,
                                     base::clock::time_point now) noexcept {
    auto& usual = usual_.at(std::min<std::size_t>(priority, kinds - 1));
    usual.note(length);
    const auto sample = static_cast<double>(length.count());
    recent_ms_ = recent_ms_ == 0 ? sample : recent_ms_ + (sample - recent_ms_) * weight_of_newest;
    const auto ratio = sample / (usual.lowest_ms() + timer_error_ms);
    recent_ratio_ += (ratio - recent_ratio_) * weight_of_newest;
    last_response_ = now;
    if (recent_ratio_ <= tolerated_ratio) {
        part_ = std::min(part_ * growth, 1.0);
        return;
    }
    const auto wanted = part_ * std::max(tolerated_ratio / recent_ratio_, fastest_shrinking);
    part_ = std::max(part_ + (wanted - part_) * shrinking_weight, least_part);
}

void statement_window::note_refused(base::clock::time_point now) noexcept {
    part_ = std::max(part_ * part_after_refusal, least_part);
    last_response_ = now;
}

double statement_window::size(std::uint32_t slots, std::uint32_t daemons,
                              std::uint32_t priority) const noexcept {
    const auto usual = usual_statements(slots, daemons);
    if (priority == 0) {
        return usual + 1;
    }
    // Each further priority gets a smaller part, or daemons without more urgent statements would send theirs
    // first.
    return part_ < 1 ? part_ * usual / priority : usual;
}

base::clock::time_point statement_window::next_start(std::uint32_t slots, std::uint32_t daemons,
                                                     std::uint32_t priority) const noexcept {
    const auto window = size(slots, daemons, priority);
    if (window >= 1) {
        return last_response_;
    }
    const auto pause = recent_ms_ * (1 / window - 1);
    const auto limit = std::min(pause, static_cast<double>(longest_pause.count()));
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
