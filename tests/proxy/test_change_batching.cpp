#include <proxy/change_batching.hpp>

#include <gtest/gtest.h>

namespace {

using ms = base::clock::duration;

base::clock::time_point at(std::int64_t milliseconds) {
    return base::clock::time_point{ms{milliseconds}};
}

// Guards against a call to the store by each daemon for every database of a fleet that starts: 60 databases
// that register within 12 seconds, one every 200 ms, are read in 15 calls at most.
TEST(change_batching, ReadsABurstOfChangesInFewCalls) {
    proxy::change_batching batching;
    int calls = 0;
    for (std::int64_t now = 0; now < 12'000;) {
        batching = batching.after_change(at(now));
        ++calls;
        now += batching.delay().count() + 4;
    }
    EXPECT_LE(calls, 15);
}

// Guards against a replaced database that is noticed late because others changed long before.
TEST(change_batching, StartsAnewAfterAPause) {
    auto batching = proxy::change_batching{}.after_change(at(0));
    EXPECT_EQ(batching.delay(), ms{200});
    for (const std::int64_t now : {300, 800, 1'700}) {
        batching = batching.after_change(at(now));
    }
    EXPECT_EQ(batching.delay(), ms{1'000});
    EXPECT_EQ(batching.after_change(at(5'000)).delay(), ms{200});
}

TEST(change_batching, WaitsForNothingBeforeTheFirstChange) {
    EXPECT_EQ(proxy::change_batching{}.delay(), ms{0});
}

} // namespace
