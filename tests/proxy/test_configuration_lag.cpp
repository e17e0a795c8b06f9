#include <proxy/configuration_lag.hpp>

#include <gtest/gtest.h>

#include <cstdint>

namespace {

using proxy::configuration_lag;

base::clock::time_point at(std::int64_t milliseconds) {
    return base::clock::time_point{base::clock::duration{milliseconds}};
}

TEST(configuration_lag, CountsFromTheFirstNewerVersion) {
    const auto none = configuration_lag{}.after_report(5, 5, "a", at(0));
    EXPECT_EQ(none, configuration_lag{});
    const auto first = none.after_report(7, 5, "a", at(100));
    const auto second = first.after_report(9, 5, "b", at(200)).after_report(8, 5, "c", at(300));
    EXPECT_EQ(second.version(), 9U);
    EXPECT_EQ(second.peer(), "b");
    EXPECT_EQ(second.since(), at(100));
}

TEST(configuration_lag, EndsWithTheNewestReportedVersion) {
    const auto lag = configuration_lag{}.after_report(9, 5, "a", at(100));
    EXPECT_EQ(lag.after_change(7), lag);
    EXPECT_EQ(lag.after_change(9), configuration_lag{});
    EXPECT_EQ(lag.after_change(11), configuration_lag{});
}

// Guards against clients that are sent away for good because of a version that no daemon has any more.
TEST(configuration_lag, ForgetsAVersionThatNoPeerReportsAnyMore) {
    const auto lag = configuration_lag{}.after_report(9, 5, "a", at(0)).after_report(9, 5, "b", at(2'000));
    EXPECT_EQ(lag.at(at(5'000)), lag);
    EXPECT_EQ(lag.at(at(5'001)), configuration_lag{});
}

TEST(published_configuration_lag, TellsForHowLongANewerVersionIsKnown) {
    proxy::published_configuration_lag published;
    EXPECT_FALSE(published.is_behind());
    EXPECT_EQ(published.duration_at(at(500)), base::clock::duration{0});
    published.set(configuration_lag{}.after_report(9, 5, "a", at(100)));
    EXPECT_TRUE(published.is_behind());
    EXPECT_EQ(published.duration_at(at(500)), base::clock::duration{400});
    published.set({});
    EXPECT_FALSE(published.is_behind());
}

} // namespace
