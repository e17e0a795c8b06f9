#include <utilities/sassafras_soak/fault_schedule.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <set>

namespace {

constexpr base::clock::duration length{15'000};

// Guards against a seed that does not play the same faults again.
RC_GTEST_PROP(fault_schedule, IsTheSameForTheSameSeed, (std::uint64_t seed)) {
    RC_ASSERT(soak::make_schedule(seed, length) == soak::make_schedule(seed, length));
}

// Guards against faults that last beyond the time at which everybody has to be served again.
RC_GTEST_PROP(fault_schedule, IsOverAtItsEnd, (std::uint64_t seed)) {
    const auto schedule = soak::make_schedule(seed, length);
    RC_ASSERT(!schedule.empty());
    for (const auto& fault : schedule) {
        RC_ASSERT(fault.at_ + fault.length_ <= length);
    }
    RC_ASSERT(std::is_sorted(schedule.begin(), schedule.end(),
                             [](const auto& left, const auto& right) { return left.at_ < right.at_; }));
}

// Guards against a soak that no longer plays returns of the store, or not two within a second.
TEST(store_returns, ComeAloneAndInSeries) {
    std::set<std::size_t> counts;
    bool is_any_pair_close = false;
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        const auto returns = soak::make_store_returns(seed, length);
        EXPECT_EQ(returns, soak::make_store_returns(seed, length));
        counts.insert(returns.size());
        for (std::size_t number = 1; number < returns.size(); ++number) {
            const auto gap = returns[number].at_ - returns[number - 1].at_ - returns[number - 1].away_;
            EXPECT_GE(gap, base::clock::duration{0});
            is_any_pair_close = is_any_pair_close || gap <= base::clock::duration{1'000};
        }
        for (const auto& one : returns) {
            EXPECT_LT(one.at_ + one.away_, length);
        }
    }
    EXPECT_EQ(counts, (std::set<std::size_t>{0, 1, 2, 3}));
    EXPECT_TRUE(is_any_pair_close);
}

// Guards against strains that no seed plays, or that go on after the faults.
TEST(fault_schedule, StrainsDatabasesWithinTheFaults) {
    constexpr base::clock::duration length{15'000};
    std::set<soak::database_strain_kind> kinds;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        for (const auto& one : soak::make_database_strains(seed, length)) {
            kinds.insert(one.kind_);
            EXPECT_LE(one.at_ + one.length_, length);
        }
    }
    EXPECT_EQ(kinds.size(), soak::database_strain_kind_count);
}

// Guards against rejections that no seed plays, or that a configuration may outlast.
TEST(fault_schedule, RejectsADaemonInSomeSeedsForLongerThanAConfigurationMayTake) {
    std::set<bool> plays;
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        const auto rejection = soak::make_store_rejection(seed, length);
        EXPECT_EQ(rejection, soak::make_store_rejection(seed, length));
        plays.insert(rejection.has_value());
        if (rejection) {
            EXPECT_GT(rejection->length_, base::clock::duration{5'000});
            EXPECT_LT(rejection->at_ + rejection->length_, length);
        }
    }
    EXPECT_EQ(plays.size(), 2U);
}

// Guards against a kind of fault that no seed plays.
TEST(fault_schedule, PlaysEveryKindWithinAFewSeeds) {
    std::set<soak::fault_kind> kinds;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        for (const auto& fault : soak::make_schedule(seed, length)) {
            kinds.insert(fault.kind_);
        }
    }
    EXPECT_EQ(kinds.size(), soak::fault_kind_count);
}

} // namespace
