#include <stand_ins/platform/call_limit.hpp>
#include <stand_ins/platform/host_history.hpp>
#include <stand_ins/platform/key_value_store.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <set>

namespace {

using namespace stand_ins::platform;
using base::clock;

clock::time_point at_ms(std::int64_t milliseconds) {
    return clock::time_point{clock::duration{milliseconds}};
}

std::size_t admitted(call_limit& limit, clock::time_point now, std::size_t waiting, std::size_t calls) {
    std::size_t count = 0;
    for (std::size_t call = 0; call < calls; ++call) {
        count += limit.admit(now, waiting) ? 1 : 0;
    }
    return count;
}

} // namespace

// Guards against a lost update, and against a revision that returns after its key was removed.
RC_GTEST_PROP(key_value_store, swaps_need_the_present_revision_and_never_repeat_one, ()) {
    key_value_store store;
    std::set<std::uint64_t> revisions;
    for (int step = 0; step < 60; ++step) {
        const auto now = at_ms(step);
        const auto present = store.get("k").revision_;
        const auto expected = *rc::gen::inRange<std::uint64_t>(0, 6);
        const auto lease = *rc::gen::element<std::optional<std::uint64_t>>(std::nullopt, 1, 2);
        const auto action = *rc::gen::inRange(0, 4);
        if (action == 0) {
            store.grant_lease(clock::duration{5}, now);
        } else if (action == 1) {
            store.expire_leases(now);
        } else {
            const auto result = store.put_if("k", "v", expected, lease);
            RC_ASSERT(!result.applied_ || expected == present);
            RC_ASSERT(!result.applied_ || revisions.insert(result.revision_).second);
            RC_ASSERT(store.get("k").revision_ == result.revision_);
        }
    }
}

// Guards against a lease that outlives its time, and against a holder that is told that it still has it.
TEST(key_value_store, lease_ends_with_its_keys) {
    key_value_store store;
    const auto lease = store.grant_lease(clock::duration{100}, at_ms(0));
    EXPECT_TRUE(store.put_if("k", "v", 0, lease).applied_);
    EXPECT_TRUE(store.renew_lease(lease, at_ms(60)));
    EXPECT_FALSE(store.expire_leases(at_ms(159)));
    EXPECT_FALSE(store.renew_lease(lease, at_ms(160)));
    EXPECT_TRUE(store.expire_leases(at_ms(160)));
    EXPECT_FALSE(store.get("k").found_);
    EXPECT_TRUE(has_changed(store.get("k"), 1));
    EXPECT_FALSE(store.put_if("k", "v", 0, lease).applied_);
}

// Guards against a store that serves more than its published rate or forgets to count waiting watches.
TEST(call_limit, waiting_watches_use_up_calls) {
    call_limit limit{400, at_ms(0)};
    EXPECT_EQ(admitted(limit, at_ms(0), 0, 500), 400U);
    EXPECT_EQ(admitted(limit, at_ms(500), 0, 500), 200U);
    EXPECT_EQ(admitted(limit, at_ms(1'500), 300, 500), 100U);
    EXPECT_EQ(admitted(limit, at_ms(9'000), 400, 500), 0U);
    EXPECT_GT(limit.retry_after(400), limit.retry_after(0));
}

// Guards against a host list that shows changes at once, which would hide the fault that it stages.
TEST(host_history, change_shows_after_the_lag) {
    host_history history{{{"127.0.0.1:1", "live"}}};
    history.set_lag(clock::duration{50});
    history.set({}, at_ms(100));
    EXPECT_EQ(history.visible(at_ms(149)).size(), 1U);
    EXPECT_TRUE(history.visible(at_ms(150)).empty());
}
