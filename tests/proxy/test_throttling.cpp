#include "running_owner.hpp"

#include <proxy/throttle_decision.hpp>

#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

namespace {

namespace asio = boost::asio;
using base::clock;
using base::outcome;
using daemons::throttle_notice;

constexpr auto primary = base::database_role::primary;
constexpr auto replica = base::database_role::replica;

operators::service_declaration declare() {
    return operators::service_declaration_fields{
        .name_ = "ledger",
        .slots_ = 2,
        .ranks_ = {{.name_ = "urgent"}, {.name_ = "normal"}, {.name_ = "low"}, {.name_ = "bulk"}}};
}

backends::queue_load load_with_wait(std::int64_t wait_ms) {
    return backends::queue_load_fields{
        .ranks_ = {{.rank_ = "low", .queued_ = 1, .expected_wait_ = clock::duration{wait_ms}}}};
}

} // namespace

// Guards against an owner that throttles ranks without a backlog, or admits requests that cannot meet their
// deadline.
TEST(throttling, owner_admits_less_the_longer_the_wait) {
    const auto declaration = declare();
    const auto percent_at = [&](std::int64_t wait_ms) {
        const auto notices = proxy::decide_throttling(declaration, primary, load_with_wait(wait_ms));
        EXPECT_EQ(notices.size(), 4U);
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

// Guards against entry daemons that are not told that an overload has ended, and against unnecessary notices.
TEST(throttling, only_changes_and_throttled_ranks_are_announced) {
    const auto calm = proxy::decide_throttling(declare(), primary, load_with_wait(0));
    const auto loaded = proxy::decide_throttling(declare(), primary, load_with_wait(1'500));
    EXPECT_TRUE(proxy::select_notices({}, calm).empty());
    EXPECT_TRUE(proxy::select_notices(calm, calm).empty());
    EXPECT_EQ(proxy::select_notices(calm, loaded), std::vector{loaded.at(2)});
    EXPECT_EQ(proxy::select_notices(loaded, loaded), std::vector{loaded.at(2)});
    EXPECT_EQ(proxy::select_notices(loaded, calm), std::vector{calm.at(2)});
}

// Guards against an overload of writes that causes reads to be refused although a replica is free, and
// against reads that only the primary can serve and that ignore a throttle notice for it.
TEST(throttling, reads_use_the_queue_of_the_databases_that_may_serve_them) {
    const auto role_of = [](base::request request, clock::duration staleness) {
        return proxy::needed_role(
            proxy::routed_request_fields{.request_ = std::move(request), .staleness_ = staleness});
    };
    const clock::duration stale{500};
    EXPECT_EQ(role_of(fakes::read_request(), stale), replica);
    EXPECT_EQ(role_of(fakes::read_request(), clock::duration{0}), primary);
    EXPECT_EQ(role_of(fakes::write_request("add a 1"), clock::duration{0}), primary);
    const auto first_read = fakes::read_request().with(
        [](auto& fields) { fields.session_ = base::session_state::without_token; });
    EXPECT_EQ(role_of(first_read, stale), primary);
}

// Guards against an owner that never announces its backlog to the entry daemons, or never the end of it.
TEST(throttling, an_owner_announces_its_backlog_and_its_end) {
    fakes::running_owner running{1, 1'000};
    running.run([&]() -> asio::awaitable<void> {
        int ended = 0;
        const auto flood = [&](clock::duration timeout) {
            running.spawn([&, timeout]() -> asio::awaitable<void> {
                const auto response = co_await running.send_request(fakes::write_request("add a 1", timeout));
                EXPECT_NE(response->outcome_, outcome::unknown);
                ++ended;
            });
        };
        const auto& announced = *running.announced_;
        const auto is_throttling = [&] {
            return std::any_of(announced.begin(), announced.end(),
                               [](const auto& notice) { return notice->percent_ < 100; });
        };
        flood(clock::duration{5'000});
        co_await running.wait_until([&] { return ended == 1; });
        EXPECT_TRUE(announced.empty());
        running.primary().statement_duration_ = clock::duration{50};
        for (int index = 0; index < 60; ++index) {
            flood(clock::duration{5'000});
        }
        co_await running.wait_until(is_throttling);
        for (const auto& notice : announced) {
            EXPECT_EQ(notice->group_, "ledger");
            EXPECT_EQ(notice->rank_, "payout");
            EXPECT_EQ(notice->role_, primary);
        }
        running.primary().statement_duration_ = clock::duration{0};
        co_await running.wait_until([&] { return ended == 61; });
        co_await running.wait_until([&] { return announced.back()->percent_ == 100; });
    });
}
