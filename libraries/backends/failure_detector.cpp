#include <backends/failure_detector.hpp>

#include <algorithm>

namespace backends {

failure_detector failure_detector::record_response(base::clock::time_point now) const noexcept {
    failure_detector changed = *this;
    changed.heard_at_ = std::max(heard_at_, now);
    changed.phase_ = detector_phase::responding;
    return changed;
}

failure_detector failure_detector::record_suspicion() const noexcept {
    failure_detector changed = *this;
    if (phase_ == detector_phase::responding) {
        changed.phase_ = detector_phase::trying_fresh_connection;
    }
    return changed;
}

failure_detector failure_detector::record_fresh_connection_failure() const noexcept {
    failure_detector changed = *this;
    if (phase_ == detector_phase::trying_fresh_connection) {
        changed.phase_ = detector_phase::checking_with_other_daemon;
    }
    return changed;
}

failure_detector failure_detector::record_check(suspicion_result found, std::size_t responding,
                                                std::size_t group_size) const noexcept {
    failure_detector changed = *this;
    if (phase_ == detector_phase::checking_with_other_daemon) {
        const bool reaches_majority = responding > group_size / 2;
        changed.phase_ = found != suspicion_result::reached && reaches_majority
                             ? detector_phase::failed
                             : detector_phase::trying_fresh_connection;
    }
    return changed;
}

bool failure_detector::is_responding(base::clock::time_point now) const noexcept {
    return phase_ == detector_phase::responding && now < heard_at_ + silence_timeout;
}

failure_detector failure_detector::advance(base::clock::time_point now) const noexcept {
    return now >= heard_at_ + silence_timeout ? record_suspicion() : *this;
}

} // namespace backends
