#include <platform/store_history.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

namespace {

using changes = std::vector<std::tuple<std::uint64_t, std::uint64_t, std::string>>;

/// A history that records its changes.
struct observed_history {
    changes changes_;
    platform::store_history history_{
        [this](base::store_era before, base::store_era now, const std::string& source) {
            changes_.emplace_back(base::number_of(before), base::number_of(now), source);
        }};
};

// Guards against a return of the store that is not noticed, and against one that is reported twice.
TEST(store_history, ReportsEachChangeWithItsSource) {
    observed_history observed;
    auto& history = observed.history_;
    EXPECT_FALSE(history.note_response("4"));
    EXPECT_FALSE(history.note_response("4"));
    history.note_peer(base::store_era{5}, "10.0.0.1:7440");
    history.note_peer(base::store_era{4}, "10.0.0.2:7440");
    EXPECT_FALSE(history.note_response("5"));
    EXPECT_FALSE(history.note_response("7"));
    EXPECT_EQ(observed.changes_, (changes{{0, 4, "store"}, {4, 5, "10.0.0.1:7440"}, {5, 7, "store"}}));
}

// Guards against revisions of an unknown or earlier history that are taken for present ones.
TEST(store_history, RejectsWhatStatesNoPresentHistory) {
    observed_history observed;
    auto& history = observed.history_;
    EXPECT_FALSE(history.note_response("4"));
    for (const auto* stated :
         {"3", "", "0", "-5", "+5", " 5", "5 ", "5.0", "0x5", "five", "9000001", "18446744073709551616"}) {
        EXPECT_TRUE(history.note_response(stated)) << stated;
    }
    EXPECT_TRUE(history.note_response(std::nullopt));
    EXPECT_EQ(history.era(), base::store_era{4});
    EXPECT_EQ(observed.changes_.size(), 1U);
}

// Guards against a daemon that cannot use a store that has no drills.
TEST(store_history, UsesAStoreThatNeverStatesAHistory) {
    observed_history observed;
    EXPECT_FALSE(observed.history_.note_response(std::nullopt));
    EXPECT_FALSE(observed.history_.note_response(std::nullopt));
    EXPECT_TRUE(observed.changes_.empty());
    EXPECT_TRUE(observed.history_.note_response("x"));
}

RC_GTEST_PROP(store_history, NeverGoesBack, (const std::vector<std::string>& stated)) {
    observed_history observed;
    auto before = base::store_era::unstated;
    for (const auto& one : stated) {
        static_cast<void>(observed.history_.note_response(one));
        RC_ASSERT(observed.history_.era() >= before);
        before = observed.history_.era();
    }
}

} // namespace
