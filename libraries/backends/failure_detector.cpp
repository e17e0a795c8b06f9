#include <backends/failure_detector.hpp>

#include <algorithm>

namespace backends {

failure_detector failure_detector::record_response(base::clock::time_point now) const noexcept {
    failure_detector result = *this;
    result.last_response_at_ = std::max(last_response_at_, now);
    result.phase_ = detector_phase::responding;
    return result;
}

failure_detector failure_detector::record_suspicion() const noexcept {
    failure_detector result = *this;
    if (phase_ == detector_phase::responding) {
        result.phase_ = detector_phase::trying_fresh_connection;
    }
    return result;
}

failure_detector failure_detector::record_fresh_connection_failure() const noexcept {
    failure_detector result = *this;
    if (phase_ == detector_phase::trying_fresh_connection) {
        result.phase_ = detector_phase::checking_with_other_daemon;
    }
    return result;
}

failure_detector failure_detector::record_check(suspicion_result found, std::size_t responding_count,
                                                std::size_t group_size) const noexcept {
    failure_detector result = *this;
    if (phase_ == detector_phase::checking_with_other_daemon) {
        const bool reaches_majority = responding_count > group_size / 2;
        result.phase_ = found != suspicion_result::reached && reaches_majority
                            ? detector_phase::failed
                            : detector_phase::trying_fresh_connection;
    }
    return result;
}

bool failure_detector::is_responding(base::clock::time_point now) const noexcept {
    return phase_ == detector_phase::responding && now < last_response_at_ + silence_timeout;
}

failure_detector failure_detector::advance(base::clock::time_point now) const noexcept {
    return now >= last_response_at_ + silence_timeout ? record_suspicion() : *this;
}

} // namespace backends
