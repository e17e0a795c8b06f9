#include <backends/circuit_breaker.hpp>

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace {

using backends::circuit_breaker;
using backends::circuit_state;
using base::clock;

clock::time_point at(std::int64_t ms) {
    return clock::time_point{clock::duration{ms}};
}

circuit_breaker opened_at(std::int64_t ms) {
    circuit_breaker breaker;
    for (std::uint32_t failure = 0; failure < circuit_breaker::failures_to_open; ++failure) {
        EXPECT_TRUE(breaker.admit(at(ms)));
        breaker.note_failure(at(ms));
    }
    return breaker;
}

} // namespace

// Guards against more than one trial at a time on a database that may still be down.
TEST(circuit_breaker, half_open_admits_one_trial) {
    auto breaker = opened_at(0);
    EXPECT_EQ(breaker.state(), circuit_state::open);
    EXPECT_FALSE(breaker.admit(at(249)));
    EXPECT_TRUE(breaker.admit(at(250)));
    EXPECT_FALSE(breaker.admit(at(251)));
    breaker.note_failure(at(260));
    EXPECT_FALSE(breaker.admit(at(260 + 499))) << "the pause doubles";
    EXPECT_TRUE(breaker.admit(at(260 + 500)));
    breaker.note_success(at(770));
    EXPECT_EQ(breaker.state(), circuit_state::closed);
    EXPECT_TRUE(breaker.admit(at(770)));
    EXPECT_TRUE(breaker.admit(at(770)));
}

// Guards against a late answer from before the failure that closes the breaker without a trial.
TEST(circuit_breaker, late_success_does_not_close_it) {
    auto breaker = opened_at(0);
    breaker.note_success(at(1));
    EXPECT_FALSE(breaker.admit(at(2)));
}

// Guards against a database that is shut out for ever, whatever was reported or lost before.
TEST(circuit_breaker, trial_is_admitted_within_a_bound_after_any_history) {
    EXPECT_TRUE(rc::check("recovers", [] {
        circuit_breaker breaker;
        std::int64_t now = 0;
        const auto steps = *rc::gen::inRange(0, 200);
        for (int step = 0; step < steps; ++step) {
            now += *rc::gen::inRange(0, 2'000);
            switch (*rc::gen::inRange(0, 4)) {
            case 0:
                breaker.note_success(at(now));
                break;
            case 1:
            case 2:
                breaker.note_failure(at(now));
                break;
            default:
                static_cast<void>(breaker.admit(at(now)));
            }
        }
        const auto longest = std::max(circuit_breaker::longest_pause, circuit_breaker::longest_trial);
        RC_ASSERT(breaker.admit(at(now) + longest));
    }));
}
