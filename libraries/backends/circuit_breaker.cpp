#include <backends/circuit_breaker.hpp>

#include <backends/retry_delay.hpp>

namespace backends {

using base::clock;

bool circuit_breaker::admit(clock::time_point now) {
    if (state_ == circuit_state::closed) {
        return true;
    }
    if (now < next_trial_) {
        return false;
    }
    state_ = circuit_state::half_open;
    // Until its end is reported no other request is admitted.
    next_trial_ = now + longest_trial;
    return true;
}

void circuit_breaker::note_success(clock::time_point /*now*/) {
    // While open, answers to requests sent before do not count: only a trial tells that the database is back.
    if (state_ == circuit_state::open) {
        return;
    }
    state_ = circuit_state::closed;
    failures_ = 0;
    failed_trials_ = 0;
}

void circuit_breaker::note_failure(clock::time_point now) {
    if (state_ == circuit_state::open) {
        return;
    }
    if (state_ == circuit_state::half_open) {
        ++failed_trials_;
        open(now);
        return;
    }
    if (++failures_ >= failures_to_open) {
        open(now);
    }
}

void circuit_breaker::open(clock::time_point now) {
    state_ = circuit_state::open;
    failures_ = 0;
    next_trial_ = now + backoff_limit(first_pause, longest_pause, failed_trials_);
}

} // namespace backends
