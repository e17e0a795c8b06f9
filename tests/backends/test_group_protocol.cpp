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

void check_guarantees(std::size_t databases) {
    std::size_t acknowledged = 0;
    std::size_t not_run = 0;
    std::size_t promotions = 0;
    std::size_t reads = 0;
    EXPECT_TRUE(rc::check("no guarantee is violated", [&](std::uint32_t seed) {
        simulation run{rules{.databases_ = databases}, seed};
        run.run(steps);
        acknowledged += run.acknowledged();
        not_run += run.reported_not_run();
        promotions += run.promotions();
        reads += run.confirmed_reads();
        const auto& violations = run.violations();
        RC_ASSERT(std::accumulate(violations.begin(), violations.end(), std::string{}) == "");
    }));
    // A group without any activity keeps every guarantee; these checks show that the runs were not trivial.
    std::cout << "acknowledged " << acknowledged << ", not run " << not_run << ", promotions " << promotions
              << ", reads " << reads << "\n";
    EXPECT_GT(acknowledged, 100U);
    EXPECT_GT(not_run, 10U);
    EXPECT_GT(promotions, 200U);
    EXPECT_GT(reads, 100U);
}

// Returns the number of runs with a violation whose description contains `expected`.
int count_violations(const rules& faulty_rules, const std::string& expected) {
    int found = 0;
    for (std::uint32_t seed = 1; seed <= 100; ++seed) {
        simulation run{faulty_rules, seed};
        run.run(steps);
        const auto& seen = run.violations();
        found += std::any_of(seen.begin(), seen.end(), [&expected](const std::string& one) {
            return one.find(expected) != std::string::npos;
        });
    }
    return found;
}

} // namespace

// Guards against lost acknowledged writes, responses of replaced primaries, false "not run" responses and
// double execution while messages are lost, duplicated and reordered and three owners compete for takeovers.
TEST(group_protocol, three_databases_keep_every_guarantee) {
    check_guarantees(3);
}

// Guards against a majority computation that is correct for three databases only.
TEST(group_protocol, five_databases_keep_every_guarantee) {
    check_guarantees(5);
}

// Verifies that the model detects a gate that releases a response before a majority holds the entry.
TEST(group_protocol, acknowledging_before_a_majority_loses_writes) {
    EXPECT_GT(count_violations({.gate_ = gate_rule::primary_alone}, "acknowledged write"), 0);
}

// Verifies that the model detects a gate that reports an entry of an old term before a majority holds an
// entry of the new term.
TEST(group_protocol, reporting_an_entry_of_an_old_term_loses_writes) {
    EXPECT_GT(count_violations({.databases_ = 5, .gate_ = gate_rule::any_term}, "acknowledged write"), 0);
}

// Verifies that the model detects a fresh read that skips the round and is served by a replaced primary.
TEST(group_protocol, reading_without_a_round_misses_writes) {
    EXPECT_GT(count_violations({.read_ = read_rule::none}, "a read missed"), 0);
}

// Verifies that the model detects a "not run" response that is guessed after a lost response.
TEST(group_protocol, guessing_not_run_is_detected) {
    EXPECT_GT(count_violations({.outcome_ = outcome_rule::guess_not_run}, "reported as not run"), 0);
}

// Verifies that the model detects a write that is repeated under a new key after a lost response.
TEST(group_protocol, repeating_without_the_key_runs_an_action_twice) {
    EXPECT_GT(count_violations({.outcome_ = outcome_rule::repeat_under_new_key}, "ran twice"), 0);
}
