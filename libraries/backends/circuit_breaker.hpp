#pragma once

#include <base/clock.hpp>

#include <cstdint>

namespace backends {

/// Whether a circuit breaker lets requests through.
enum class circuit_state : std::uint8_t {
    closed,
    open,
    /// One trial request is let through or under way.
    half_open,
};

/// Keeps requests from a database that fails, and lets one trial at a time through after a while.
///
/// Opens after `failures_to_open` failures in a row. The time until the next trial starts at `first_pause`
/// and doubles with each failed trial up to `longest_pause`. A trial whose end is never reported counts as
/// failed after `longest_trial`, so that a lost report cannot block the database for ever. Thread safety:
/// owned by one thread; time must not go back.
class circuit_breaker {
public:
    static constexpr std::uint32_t failures_to_open = 5;
    static constexpr base::clock::duration first_pause{250};
    static constexpr base::clock::duration longest_pause{4'000};
    static constexpr base::clock::duration longest_trial{5'000};

    /// Returns whether a request may be sent now. In the half-open state this admits the trial: the caller
    /// must report its end.
    [[nodiscard]] bool admit(base::clock::time_point now);
    void note_success(base::clock::time_point now);
    /// Notes a failure of the database itself, not an error in a statement.
    void note_failure(base::clock::time_point now);

    [[nodiscard]] circuit_state state() const noexcept { return state_; }
    /// Returns when the next trial may be made. Meaningful unless the state is closed.
    [[nodiscard]] base::clock::time_point next_trial() const noexcept { return next_trial_; }

private:
    void open(base::clock::time_point now);

    circuit_state state_ = circuit_state::closed;
    std::uint32_t failures_ = 0;
    std::uint32_t failed_trials_ = 0;
    base::clock::time_point next_trial_{};
};

} // namespace backends
