#include <base/event_limiter.hpp>

#include <gtest/gtest.h>

namespace {

base::clock::time_point at(std::int64_t milliseconds) {
    return base::clock::time_point{base::clock::duration{milliseconds}};
}

// Guards against a log that grows with the load.
TEST(event_limiter, AllowsOnlySoManyLinesEachSecond) {
    base::event_limiter limiter{3};
    int allowed = 0;
    for (int index = 0; index < 10; ++index) {
        allowed += limiter.allows(at(10'000 + index)) ? 1 : 0;
    }
    EXPECT_EQ(allowed, 3);
    EXPECT_EQ(limiter.take_dropped_count(), 7U);
    EXPECT_EQ(limiter.take_dropped_count(), 0U);
    EXPECT_TRUE(limiter.allows(at(11'000)));
}

} // namespace
