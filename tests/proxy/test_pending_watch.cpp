#include <proxy/pending_watch.hpp>

#include <gtest/gtest.h>

#include <cstdint>

namespace {

/// Returns a revision in the first history of a store.
constexpr base::store_revision revision_at(std::uint64_t number) {
    return {base::store_era{1}, number};
}

base::clock::time_point at(std::int64_t milliseconds) {
    return base::clock::time_point{base::clock::duration{milliseconds}};
}

// Guards against a watch without a response that hides changes from one daemon until its time limit, while
// its peers have received them (review/3).
TEST(pending_watch, IsOverdueOnceItOwesAReportedChange) {
    const proxy::pending_watch watch{revision_at(50), at(1'000)};
    const auto change = proxy::reported_change{}.after_report(revision_at(51), at(2'000));
    EXPECT_FALSE(proxy::is_overdue(watch, change, at(2'699)));
    EXPECT_TRUE(proxy::is_overdue(watch, change, at(2'700)));
}

TEST(pending_watch, IsNotOverdueWithoutALaterChange) {
    const proxy::pending_watch watch{revision_at(50), at(1'000)};
    EXPECT_FALSE(proxy::is_overdue(watch, {}, at(20'000)));
    EXPECT_FALSE(
        proxy::is_overdue(watch, proxy::reported_change{}.after_report(revision_at(50), at(0)), at(20'000)));
}

// Guards against a new watch that is given up at once because of a report that is older than the watch.
TEST(pending_watch, HasTimeToDeliverAChangeThatWasReportedBeforeItWasSent) {
    const auto change = proxy::reported_change{}.after_report(revision_at(51), at(0));
    EXPECT_FALSE(proxy::is_overdue({revision_at(50), at(5'000)}, change, at(5'600)));
}

// Guards against a lost watch that is kept as long as peers report further changes at short intervals.
TEST(pending_watch, IsOverdueWhileChangesGoOn) {
    const proxy::pending_watch watch{revision_at(50), at(1'000)};
    proxy::reported_change change;
    for (std::uint64_t number = 0; number < 10; ++number) {
        change = change.after_report(revision_at(51 + number), at(2'000 + 300 * static_cast<int>(number)));
    }
    EXPECT_EQ(change.revision(), revision_at(60));
    EXPECT_TRUE(proxy::is_overdue(watch, change, at(2'700)));
}

TEST(reported_change, KeepsTheNewestReportAndTheTimeOfTheFirstThatIsOwed) {
    const auto first = proxy::reported_change{}.after_report(revision_at(51), at(10));
    EXPECT_EQ(first.after_report(revision_at(51), at(20)), first);
    EXPECT_EQ(first.after_report(revision_at(40), at(20)), first);
    const auto second = first.after_report(revision_at(52), at(20));
    EXPECT_EQ(second.revision(), revision_at(52));
    EXPECT_EQ(second.reported_at(), at(10));
    // What has been received is owed no longer.
    const auto third = second.after_received(revision_at(52)).after_report(revision_at(53), at(30));
    EXPECT_EQ(third.reported_at(), at(30));
    EXPECT_EQ(second.after_received(revision_at(51)).after_report(revision_at(53), at(30)).reported_at(),
              at(10));
}

// Guards against watches that are given up again and again because of a report that is wrong.
TEST(reported_change, DiscardsAReportThatAReadDoesNotConfirm) {
    const auto change = proxy::reported_change{}.after_report(revision_at(99), at(0));
    EXPECT_EQ(change.after_read(revision_at(98)), proxy::reported_change{});
    EXPECT_EQ(change.after_read(revision_at(99)), change);
}

} // namespace
