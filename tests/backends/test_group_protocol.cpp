#include "group_model.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <iostream>
#include <numeric>

namespace {

using group_model::gate_rule;
using group_model::outcome_rule;
using group_model::read_rule;
using group_model::rules;
using group_model::simulation;

constexpr int steps = 1'200;

void check_promises(std::size_t databases) {
    std::size_t acknowledged = 0;
    std::size_t not_run = 0;
    std::size_t promotions = 0;
    std::size_t reads = 0;
    EXPECT_TRUE(rc::check("no promise is broken", [&](std::uint32_t seed) {
        simulation run{rules{.databases_ = databases}, seed};
        run.run(steps);
        acknowledged += run.acknowledged();
        not_run += run.told_not_run();
        promotions += run.promotions();
        reads += run.confirmed_reads();
        const auto& broken = run.violations();
        RC_ASSERT(std::accumulate(broken.begin(), broken.end(), std::string{}) == "");
    }));
    // A group in which nothing happens keeps every promise; these show that the runs were no such thing.
    std::cout << "acknowledged " << acknowledged << ", not run " << not_run << ", promotions " << promotions
              << ", reads " << reads << "\n";
    EXPECT_GT(acknowledged, 100U);
    EXPECT_GT(not_run, 10U);
    EXPECT_GT(promotions, 200U);
    EXPECT_GT(reads, 100U);
}

// Returns how many of the runs break a promise whose description contains `expected`.
int count_violations(const rules& broken, const std::string& expected) {
    int found = 0;
    for (std::uint32_t seed = 1; seed <= 100; ++seed) {
        simulation run{broken, seed};
        run.run(steps);
        const auto& seen = run.violations();
        found += std::any_of(seen.begin(), seen.end(), [&expected](const std::string& one) {
            return one.find(expected) != std::string::npos;
        });
    }
    return found;
}

} // namespace

// Guards against lost acknowledged writes, answers of replaced primaries, false "not run" and double
// execution while messages are lost, repeated and reordered and three homes race for takeovers.
TEST(group_protocol, three_databases_keep_every_promise) {
    check_promises(3);
}

// Guards against a majority that is computed for three databases only.
TEST(group_protocol, five_databases_keep_every_promise) {
    check_promises(5);
}

// Shows that the model notices a gate that releases before a majority holds the entry.
TEST(group_protocol, acknowledging_before_a_majority_loses_writes) {
    EXPECT_GT(count_violations({.gate_ = gate_rule::primary_alone}, "acknowledged write"), 0);
}

// Shows that the model notices a gate that reports an entry of an old term before the new term's entry is
// held.
TEST(group_protocol, reporting_an_entry_of_an_old_term_loses_writes) {
    EXPECT_GT(count_violations({.databases_ = 5, .gate_ = gate_rule::any_term}, "acknowledged write"), 0);
}

// Shows that the model notices a fresh read that skips the round and is served by a replaced primary.
TEST(group_protocol, reading_without_a_round_misses_writes) {
    EXPECT_GT(count_violations({.read_ = read_rule::none}, "a read missed"), 0);
}

// Shows that the model notices "not run" on a guess after a lost answer.
TEST(group_protocol, guessing_not_run_is_noticed) {
    EXPECT_GT(count_violations({.outcome_ = outcome_rule::guess_not_run}, "told as not run"), 0);
}

// Shows that the model notices a lost write that is repeated under another key.
TEST(group_protocol, repeating_without_the_key_runs_an_action_twice) {
    EXPECT_GT(count_violations({.outcome_ = outcome_rule::repeat_under_new_key}, "ran twice"), 0);
}
