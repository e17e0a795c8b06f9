#include <backends/takeover_damping.hpp>

#include <algorithm>

namespace backends {

takeover_damping takeover_damping::record_start(base::clock::time_point now) const noexcept {
    takeover_damping changed = *this;
    changed.last_start_ = now;
    return changed;
}

takeover_damping takeover_damping::record_success() const noexcept {
    takeover_damping changed = *this;
    changed.interval_ = min_interval;
    return changed;
}

takeover_damping takeover_damping::record_failure() const noexcept {
    takeover_damping changed = *this;
    changed.interval_ = std::min(interval_ * 2, max_interval);
    return changed;
}

} // namespace backends
