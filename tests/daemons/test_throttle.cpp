#include <daemons/throttle_table.hpp>

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace {

using base::clock;
using daemons::throttle_notice;
using daemons::throttle_notice_fields;
using daemons::throttle_table;

clock::time_point at(std::int64_t ms) {
    return clock::time_point{clock::duration{ms}};
}

constexpr auto primary = base::database_role::primary;
constexpr auto replica = base::database_role::replica;

} // namespace

// Guards against an entry daemon that refuses requests forever because the notice that ends the throttling
// was lost.
TEST(throttle, every_notice_expires) {
    EXPECT_TRUE(rc::check("expiry", [](std::uint64_t random) {
        const throttle_notice notice{
            throttle_notice_fields{"ledger", "low", primary, *rc::gen::inRange(0U, 101U),
                                   clock::duration{*rc::gen::arbitrary<std::int32_t>()}}};
        const auto table = throttle_table{}.with(std::vector{notice}, at(50));
        const auto refusal = table.find_refusal("ledger", "low", primary, at(50), random);
        RC_ASSERT(!refusal || *refusal <= daemons::max_throttle_duration);
        RC_ASSERT(
            !table.find_refusal("ledger", "low", primary, at(50) + daemons::max_throttle_duration, random));
        RC_ASSERT(!table.find_refusal("ledger", "normal", primary, at(50), random));
        RC_ASSERT(!table.find_refusal("ledger", "low", replica, at(50), random));
        RC_ASSERT(table.with({}, at(50) + daemons::max_throttle_duration).size() == 0U);
    }));
}

// Guards against a percentage that admits all or nothing, and against a notice that does not replace the
// previous one.
TEST(throttle, fraction_of_the_requests_is_admitted_until_replaced) {
    const auto notice = [](std::uint32_t percent) {
        return std::vector{
            throttle_notice{throttle_notice_fields{"ledger", "low", primary, percent, clock::duration{500}}}};
    };
    auto table = throttle_table{}.with(notice(30), at(0));
    int admitted = 0;
    for (std::uint64_t random = 0; random < 1'000; ++random) {
        admitted += table.find_refusal("ledger", "low", primary, at(499), random) ? 0 : 1;
    }
    EXPECT_EQ(admitted, 300);
    table = table.with(notice(0), at(100));
    EXPECT_TRUE(table.find_refusal("ledger", "low", primary, at(100), 0));
    table = table.with(notice(100), at(101));
    EXPECT_FALSE(table.find_refusal("ledger", "low", primary, at(101), 99));
}
