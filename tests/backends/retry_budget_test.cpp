#include <backends/retry_budget.hpp>
#include <backends/retry_delay.hpp>

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <vector>

namespace {

using base::clock;

clock::time_point at(std::int64_t ms) {
    return clock::time_point{clock::duration{ms}};
}

} // namespace

// Guards against retries that exceed their percentage in any window that ends with a granted retry.
TEST(retry_budget, ratio_holds_in_every_window) {
    EXPECT_TRUE(rc::check("ratio", [] {
        constexpr std::uint64_t minimum = 3;
        constexpr std::uint64_t percent = 20;
        backends::retry_budget budget{percent, minimum};
        std::vector<std::int64_t> attempts;
        std::vector<std::int64_t> retries;
        std::int64_t now = *rc::gen::inRange(0, 100'000);
        const auto count_in_window = [&](const auto& times) {
            return static_cast<std::uint64_t>(std::count_if(times.begin(), times.end(), [&](auto time) {
                return time > now - backends::retry_budget::window.count();
            }));
        };
        const auto steps = *rc::gen::inRange(1, 400);
        for (int step = 0; step < steps; ++step) {
            now += *rc::gen::element(0, 1, 30, 300, 2'000);
            if (*rc::gen::inRange(0, 2) == 0) {
                budget.note_attempt(at(now));
                attempts.push_back(now);
            } else if (budget.take_retry(at(now))) {
                retries.push_back(now);
                RC_ASSERT(count_in_window(retries) <=
                          std::max(minimum, count_in_window(attempts) * percent / 100));
            }
        }
    }));
}

// Guards against a budget that never recovers after it was exhausted.
TEST(retry_budget, exhausted_budget_recovers_after_the_window) {
    backends::retry_budget budget{10, 1};
    EXPECT_TRUE(budget.take_retry(at(0)));
    EXPECT_FALSE(budget.take_retry(at(1)));
    EXPECT_TRUE(budget.take_retry(at(12'000)));
}

// Guards against a retry that starts too late to finish before the caller's deadline, and against a missing
// jitter.
TEST(retry_budget, delay_fits_the_time_left) {
    EXPECT_TRUE(rc::check("delay", [](std::uint64_t random) {
        const auto retry = *rc::gen::inRange<std::uint32_t>(0, 64);
        const clock::duration left{*rc::gen::inRange(0, 1'000)};
        const clock::duration reserved{*rc::gen::inRange(0, 1'000)};
        const auto delay = backends::retry_delay(retry, left, reserved, random);
        RC_ASSERT(delay.has_value() == (reserved <= left));
        if (delay) {
            RC_ASSERT(*delay >= clock::duration{0} && *delay + reserved <= left);
            RC_ASSERT(*delay <= clock::duration{500});
        }
    }));
    EXPECT_NE(backends::retry_delay(3, clock::duration{900}, clock::duration{1}, 5),
              backends::retry_delay(3, clock::duration{900}, clock::duration{1}, 6));
}
