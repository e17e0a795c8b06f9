#include <daemons/exchange_schedule.hpp>

#include <algorithm>

namespace daemons {

namespace {

using base::clock;

// Three requests to the leader fit into the time after which a daemon asks the possible leaders.
constexpr clock::duration leader_request_interval{400};
// A round extends the primary lease from the time at which it was started, so it is worth waiting for lost
// responses; a new one is due well before the lease expires.
constexpr clock::duration round_interval{1'000};
constexpr clock::duration repeat_interval{150};
constexpr clock::duration min_suspicion_interval{150};
// Two observations in a row may be lost before the last one counts as old.
constexpr clock::duration max_suspicion_interval{300};
// The leader handles this many requests and responses in a millisecond beside its other work.
constexpr std::size_t peers_per_ms = 1;

bool is_due(const std::optional<clock::duration>& since, clock::duration interval) noexcept {
    return !since || *since >= interval;
}

exchange_step next_step_without_leader(const exchange_state& state) noexcept {
    if (is_due(state.since_round_, round_interval)) {
        return exchange_step::start_round;
    }
    if (!state.is_round_complete_ && is_due(state.since_repeat_, repeat_interval)) {
        return exchange_step::ask_silent_peers;
    }
    return exchange_step::wait;
}

} // namespace

clock::duration suspicion_interval(std::size_t peers) noexcept {
    const clock::duration scaled{static_cast<clock::duration::rep>(peers / peers_per_ms)};
    return std::clamp(scaled, min_suspicion_interval, max_suspicion_interval);
}

exchange_step next_exchange(const exchange_state& state) noexcept {
    if (state.is_leader_ && state.is_suspecting_ &&
        is_due(state.since_survey_, suspicion_interval(state.peers_))) {
        return exchange_step::survey_peers;
    }
    if (state.needs_lease_renewal_) {
        return next_step_without_leader(state);
    }
    if (state.is_leader_ || !state.has_leader_) {
        return exchange_step::wait;
    }
    const auto interval = state.is_suspecting_ ? suspicion_interval(state.peers_) : leader_request_interval;
    return is_due(state.since_leader_request_, interval) ? exchange_step::ask_leader : exchange_step::wait;
}

} // namespace daemons
