#include "tests/backends/admission_queue_simulation.hpp"

#include <backends/hold_back.hpp>
#include <backends/hold_back_table.hpp>

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace {

using backends::hold_back_notice;
using backends::hold_back_notice_fields;
using backends::hold_back_table;
using base::clock;

clock::time_point at(std::int64_t ms) {
    return clock::time_point{clock::duration{ms}};
}

backends::queue_load load_with_wait(std::int64_t wait_ms) {
    return backends::queue_load_fields{
        .ranks_ = {{.rank_ = "low", .queued_ = 1, .expected_wait_ = clock::duration{wait_ms}}}};
}

} // namespace

// Guards against an entry daemon that refuses for ever because the notice that ends it was lost.
TEST(hold_back, every_notice_ends_by_itself) {
    EXPECT_TRUE(rc::check("expiry", [](std::uint64_t random) {
        const hold_back_notice notice{
            hold_back_notice_fields{"ledger", "low", *rc::gen::inRange(0U, 101U),
                                    clock::duration{*rc::gen::arbitrary<std::int32_t>()}}};
        const auto table = hold_back_table{}.with(std::vector{notice}, at(50));
        const auto refusal = table.find_refusal("ledger", "low", at(50), random);
        RC_ASSERT(!refusal || *refusal <= backends::longest_hold_back);
        RC_ASSERT(!table.find_refusal("ledger", "low", at(50) + backends::longest_hold_back, random));
        RC_ASSERT(!table.find_refusal("ledger", "normal", at(50), random));
        RC_ASSERT(table.with({}, at(50) + backends::longest_hold_back).size() == 0U);
    }));
}

// Guards against a fraction that admits all or nothing, and a notice that does not replace the one before.
TEST(hold_back, fraction_of_the_requests_is_admitted_until_replaced) {
    const auto notice = [](std::uint32_t percent) {
        return std::vector{
            hold_back_notice{hold_back_notice_fields{"ledger", "low", percent, clock::duration{500}}}};
    };
    auto table = hold_back_table{}.with(notice(30), at(0));
    int admitted = 0;
    for (std::uint64_t random = 0; random < 1'000; ++random) {
        admitted += table.find_refusal("ledger", "low", at(499), random) ? 0 : 1;
    }
    EXPECT_EQ(admitted, 300);
    table = table.with(notice(0), at(100));
    EXPECT_TRUE(table.find_refusal("ledger", "low", at(100), 0));
    table = table.with(notice(100), at(101));
    EXPECT_FALSE(table.find_refusal("ledger", "low", at(101), 99));
}

// Guards against a home that holds back ranks without a backlog or lets a hopeless one in.
TEST(hold_back, home_admits_less_the_longer_the_wait) {
    const auto declaration = simulation::declare(2);
    const auto percent_at = [&](std::int64_t wait_ms) {
        const auto notices = backends::decide_hold_back(declaration, load_with_wait(wait_ms));
        EXPECT_EQ(notices.at(0)->percent_, 100U) << "the rank without backlog";
        EXPECT_LE(notices.at(2)->valid_for_, clock::duration{wait_ms / 2});
        return notices.at(2)->percent_;
    };
    EXPECT_EQ(percent_at(0), 100U);
    EXPECT_EQ(percent_at(1'000), 100U);
    EXPECT_EQ(percent_at(1'500), 50U);
    EXPECT_EQ(percent_at(2'000), 0U);
    EXPECT_EQ(percent_at(60'000), 0U);
}
