#include <backends/connection_content.hpp>
#include <backends/connection_share.hpp>
#include <backends/database_load.hpp>
#include <backends/position_history.hpp>
#include <backends/promotion_choice.hpp>
#include <backends/retry_decision.hpp>
#include <backends/statement_window.hpp>
#include <backends/typical_duration.hpp>
#include <backends/wait_estimate.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace {

using backends::position_history;
using backends::statement_status;
using base::log_position;

base::clock::time_point at(std::int64_t milliseconds) {
    return base::clock::time_point{base::clock::duration{milliseconds}};
}

base::clock::duration ms(std::int64_t count) {
    return base::clock::duration{count};
}

// Guards against a stale read: a position older than the allowed staleness must not be used as the required
// one.
TEST(position_history, ReturnsNoPositionOlderThanTheStaleness) {
    position_history history;
    history.note({log_position{3, 10}, at(1'000)});
    history.note({log_position{3, 20}, at(2'000)});
    EXPECT_EQ(history.oldest_within(ms(1'500), at(2'100)), (log_position{3, 10}));
    EXPECT_EQ(history.oldest_within(ms(1'500), at(2'600)), (log_position{3, 20}));
    EXPECT_EQ(history.oldest_within(ms(1'500), at(3'600)), std::nullopt);
}

// Guards against requiring a position that was rolled back by a takeover.
TEST(position_history, DropsPositionsOfEarlierTerms) {
    position_history history;
    history.note({log_position{3, 90}, at(1'000)});
    history.note({log_position{4, 80}, at(1'100)});
    EXPECT_EQ(history.oldest_within(ms(5'000), at(1'200)), (log_position{4, 80}));
    history.note({log_position{3, 95}, at(1'200)});
    EXPECT_EQ(history.oldest_within(ms(5'000), at(1'300)), (log_position{4, 80}));
}

// Guards against a session that does not see its own commit, within a term and across a takeover.
TEST(position_history, RequiresTheSessionsOwnCommit) {
    position_history history;
    history.note({log_position{3, 10}, at(1'000)});
    EXPECT_EQ(history.required_position(ms(1'500), log_position{3, 15}, at(1'100)), (log_position{3, 15}));
    EXPECT_EQ(history.required_position(ms(1'500), log_position{3, 5}, at(1'100)), (log_position{3, 10}));
    EXPECT_EQ(history.required_position(ms(1'500), log_position{2, 99}, at(1'100)), (log_position{3, 10}));
    EXPECT_EQ(history.required_position(ms(1'500), log_position{4, 1}, at(1'100)), std::nullopt);
}

// Guards against a position that was never recorded or is older than the allowed staleness.
RC_GTEST_PROP(position_history, ReturnsOnlyRecordedPositionsWithinTheStaleness, ()) {
    const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 200));
    const auto staleness = *rc::gen::inRange(0, 3'000);
    position_history history;
    std::map<std::uint64_t, std::int64_t> noted;
    std::int64_t now = 0;
    std::uint64_t index = 0;
    for (const auto step : steps) {
        now += step;
        history.note({log_position{1, ++index}, at(now)});
        noted[index] = now;
    }
    const auto response = history.oldest_within(ms(staleness), at(now));
    if (response) {
        RC_ASSERT(noted.contains(response->index()));
        RC_ASSERT(noted[response->index()] >= now - staleness);
    }
}

// Guards against running a statement with the values of another session.
TEST(connection_content, ResetsWhenItHoldsAValueThatTheSessionHasNot) {
    backends::connection_content content;
    const std::map<std::string, std::string> first{{"lang", "hr"}, {"zone", "1"}};
    const auto change = content.change_for(first, std::nullopt);
    EXPECT_FALSE(change.reset_);
    EXPECT_EQ(change.values_.size(), 2U);
    content.apply(change);
    const std::map<std::string, std::string> second{{"lang", "fi"}};
    const auto next = content.change_for(second, std::nullopt);
    EXPECT_TRUE(next.reset_);
    EXPECT_EQ(next.values_, (std::vector<std::pair<std::string, std::string>>{{"lang", "fi"}}));
}

// Guards against a prepared statement that is not prepared again after a reset removed it.
TEST(connection_content, PreparesAgainAfterAReset) {
    backends::connection_content content;
    const base::prepared_statement prepared{base::prepared_effect::writes, "q2c"};
    content.apply(content.change_for({{"a", "1"}}, prepared));
    EXPECT_TRUE(content.change_for({{"a", "1"}}, prepared).empty());
    const auto change = content.change_for({}, prepared);
    EXPECT_TRUE(change.reset_);
    ASSERT_TRUE(change.prepare_);
    EXPECT_EQ(change.prepare_->statement_, prepared);
}

// Guards against a name collision on a connection between prepared statements of two shapes, between a read
// and a write of the same shape, or between statements before and after a reset.
RC_GTEST_PROP(connection_content, NeverAssignsTheNameOfAPreparedStatementTwice,
              (const std::vector<std::tuple<bool, std::string, bool>>& statements)) {
    backends::connection_content content;
    std::map<backends::prepared_name, base::prepared_statement> named;
    for (const auto& [writes, shape, has_value] : statements) {
        const base::prepared_statement prepared{
            writes ? base::prepared_effect::writes : base::prepared_effect::reads, shape};
        std::map<std::string, std::string> session;
        if (has_value) {
            session.emplace("lang", "hr");
        }
        const auto change = content.change_for(session, prepared);
        content.apply(change);
        const auto name = content.name_of(prepared);
        RC_ASSERT(named.contains(name) != change.prepare_.has_value());
        RC_ASSERT(named.emplace(name, prepared).first->second == prepared);
    }
}

// Guards against a connection that collects the prepared statements of all its sessions, and against a reset
// while a session uses it.
TEST(connection_content, IsResetAfterAUseThatLeftTooManyPreparedStatements) {
    backends::connection_content content;
    bool is_reset = false;
    std::size_t uses = 0;
    while (!is_reset && uses < 1'000) {
        const base::prepared_statement prepared{base::prepared_effect::reads, std::to_string(++uses)};
        const auto change = content.change_for({}, prepared);
        is_reset = change.reset_;
        content.apply(change);
        EXPECT_TRUE(content.change_for({}, prepared).empty());
        content.end_use();
    }
    EXPECT_TRUE(is_reset);
    const std::string long_shape(100'000, 'q');
    const auto change =
        content.change_for({}, base::prepared_statement{base::prepared_effect::reads, long_shape});
    EXPECT_FALSE(change.reset_);
    content.apply(change);
    EXPECT_TRUE(content.change_for({}, std::nullopt).empty());
    content.end_use();
    EXPECT_TRUE(content.change_for({}, std::nullopt).reset_);
}

// Guards against a connection whose values differ from the session's after a change was applied.
RC_GTEST_PROP(connection_content, HoldsExactlyTheSessionsValuesAfterEachChange,
              (const std::vector<std::map<std::string, std::string>>& sessions)) {
    backends::connection_content content;
    for (const auto& session : sessions) {
        content.apply(content.change_for(session, std::nullopt));
        RC_ASSERT(content.change_for(session, std::nullopt).empty());
        RC_ASSERT(content.distance_to(session) == 0U);
    }
}

// Guards against a write that takes effect twice: a write that failed or whose response was lost is never
// retried.
TEST(retry_decision, NeverRetriesAWriteThatMayHaveRun) {
    for (const auto status : {statement_status::unknown, statement_status::failed,
                              statement_status::timed_out, statement_status::done}) {
        EXPECT_EQ(backends::decide_retry(status, backends::statement_effect::writes, {0, 1}, 5),
                  backends::retry_decision::respond);
    }
}

TEST(retry_decision, RetriesAReadAtAnotherDatabaseUntilItsAttemptsAreUsed) {
    const auto reads = backends::statement_effect::reads;
    EXPECT_EQ(backends::decide_retry(statement_status::unknown, reads, {0, 1}, 2),
              backends::retry_decision::try_another);
    EXPECT_EQ(backends::decide_retry(statement_status::unknown, reads, {0, 2}, 2),
              backends::retry_decision::respond);
}

// Guards against a write that is refused because the primary, which alone may run it, was left out of the
// retry.
TEST(retry_decision, RetriesAtTheSameDatabaseWhenAPreparedStatementIsUnknown) {
    for (const auto effect : {backends::statement_effect::reads, backends::statement_effect::writes}) {
        EXPECT_EQ(backends::decide_retry(statement_status::unknown_prepared, effect, {1, 0}, 2),
                  backends::retry_decision::retry_later);
    }
}

// Guards against statements that are retried without end at databases that all refuse them.
TEST(retry_decision, RefusesAfterSeveralRefusals) {
    for (const auto effect : {backends::statement_effect::reads, backends::statement_effect::writes}) {
        EXPECT_EQ(backends::decide_retry(statement_status::overloaded, effect, {5, 0}, 2),
                  backends::retry_decision::refuse);
    }
}

backends::database_load load(std::string id, bool is_primary, std::uint32_t running) {
    backends::database_load one;
    one.id_ = std::move(id);
    one.is_primary_ = is_primary;
    one.is_eligible_ = true;
    one.has_idle_connection_ = true;
    one.running_ = running;
    one.max_running_ = 3;
    return one;
}

// Guards against reads that displace statements that only the primary can run.
TEST(choose_database, PrefersReplicasAndKeepsASlotOfThePrimary) {
    EXPECT_EQ(backends::choose_database({load("p", true, 0), load("r", false, 2)}).run_index_, 1U);
    EXPECT_EQ(backends::choose_database({load("p", true, 1), load("r", false, 3)}).run_index_, 0U);
    EXPECT_EQ(backends::choose_database({load("p", true, 2), load("r", false, 3)}).run_index_, std::nullopt);
}

TEST(choose_database, UsesAllSlotsOfThePrimaryWhenNoReplicaMayServe) {
    auto behind = load("r", false, 0);
    behind.is_eligible_ = false;
    EXPECT_EQ(backends::choose_database({load("p", true, 2), behind}).run_index_, 0U);
    EXPECT_EQ(backends::choose_database({load("p", true, 3), behind}).run_index_, std::nullopt);
    EXPECT_FALSE(backends::choose_database({load("p", true, 3), behind}).has_no_candidate_);
}

// Guards against a daemon that never connects to replicas because the primary always has an idle connection.
TEST(choose_database, OpensAConnectionToABetterDatabaseThanTheOneInUse) {
    auto replica = load("r", false, 0);
    replica.has_idle_connection_ = false;
    replica.may_open_ = true;
    const auto choice = backends::choose_database({load("p", true, 0), replica});
    EXPECT_EQ(choice.run_index_, 0U);
    EXPECT_EQ(choice.connect_index_, 1U);
}

// Guards against a new connection for every statement that a database in this failure domain could serve.
TEST(choose_database, OpensNoFurtherConnectionOnlyForTheFailureDomain) {
    auto near = load("near", false, 0);
    near.has_idle_connection_ = false;
    near.may_open_ = true;
    near.is_same_failure_domain_ = true;
    near.connections_ = 1;
    EXPECT_EQ(backends::choose_database({load("far", false, 0), near}).connect_index_, std::nullopt);
    near.connections_ = 0;
    EXPECT_EQ(backends::choose_database({load("far", false, 0), near}).connect_index_, 1U);
    near.connections_ = 1;
    EXPECT_EQ(backends::choose_database({load("far", false, 1), near}).connect_index_, 1U);
}

// Guards against daemons that restart after a power loss and find the connections of every database still
// taken by their previous processes. In benchmarks, statements then waited 800 ms for a connection.
TEST(connection_share, LeavesConnectionsForRestartedDaemons) {
    for (const auto& [most, daemons] : {std::pair{16U, 5U}, std::pair{50U, 5U}, std::pair{181U, 31U}}) {
        const backends::connection_share share{most, daemons};
        std::uint32_t open = 0;
        while (share.may_open(open, backends::connection_pressure::none, at(0))) {
            ++open;
        }
        EXPECT_TRUE(share.is_above_share(open + 1));
        EXPECT_FALSE(share.is_above_share(open));
        EXPECT_GE(open, 1U);
        EXPECT_LE(open * daemons, most * 2 / 3);
    }
}

TEST(connection_share, KeepsAFewIdleConnections) {
    EXPECT_EQ((backends::connection_share{16, 5}.kept_idle()), 1U);
    EXPECT_EQ((backends::connection_share{50, 5}.kept_idle()), 3U);
    EXPECT_EQ((backends::connection_share{46, 37}.kept_idle()), 1U);
}

TEST(choose_database, ReportsWhenNoDatabaseMayServe) {
    auto one = load("p", true, 0);
    one.is_eligible_ = false;
    EXPECT_TRUE(backends::choose_database({one}).has_no_candidate_);
    EXPECT_TRUE(backends::choose_database({}).has_no_candidate_);
}

TEST(connection_share, BacksOffAfterARefusal) {
    const auto waiting = backends::connection_pressure::waiting;
    const backends::connection_share share{16, 5};
    EXPECT_TRUE(share.may_open(3, waiting, at(1'000)));
    const auto refused = share.record_refusal(at(1'000));
    EXPECT_FALSE(refused.may_open(0, waiting, at(1'100)));
    EXPECT_TRUE(refused.may_open(1, waiting, at(1'300)));
}

// Guards against a few daemons that take all remaining connections after a power loss while a database still
// counts those of the hosts that lost power, so that the other daemons can serve no statement.
TEST(connection_share, StaysWithinTheShareForAWhileAfterARefusal) {
    const auto waiting = backends::connection_pressure::waiting;
    const auto refused = backends::connection_share{46, 37}.record_refusal(at(1'000));
    EXPECT_TRUE(refused.may_open(0, waiting, at(1'300)));
    EXPECT_FALSE(refused.may_open(1, waiting, at(1'300)));
    EXPECT_FALSE(refused.with_limits(46, 37).may_open(1, waiting, at(3'900)));
    EXPECT_TRUE(refused.may_open(1, waiting, at(4'100)));
}

// Guards against idle connections of all daemons that leave none for restarted daemons.
TEST(connection_share, KeepsIdleConnectionsOnlyWhereAllDaemonsMay) {
    EXPECT_GT((backends::connection_share{16, 5}.max_idle(at(9'000))), ms(10'000));
    EXPECT_GT((backends::connection_share{181, 31}.max_idle(at(9'000))), ms(10'000));
    EXPECT_LE((backends::connection_share{46, 37}.max_idle(at(9'000))), ms(1'000));
}

// Guards against the first daemons to restart after a power loss keeping the few free connections idle: 12 of
// 46 were open at each primary with only one in use, while 25 of 37 daemons had none.
TEST(connection_share, ClosesIdleScarceConnectionsSoonAfterAStart) {
    const auto started = backends::connection_share{46, 37}.record_start(at(1'000));
    EXPECT_LE(started.max_idle(at(1'500)), ms(100));
    EXPECT_GE(started.max_idle(at(4'100)), ms(500));
    EXPECT_FALSE(started.may_open(1, backends::connection_pressure::waiting, at(1'500)));
    const auto plentiful = backends::connection_share{181, 31}.record_start(at(1'000));
    EXPECT_GT(plentiful.max_idle(at(1'500)), ms(10'000));
}

TEST(connection_share, LeavesOneConnectionForRoleRequests) {
    const backends::connection_share share{16, 1};
    EXPECT_TRUE(share.may_open(14, backends::connection_pressure::waiting, at(0)));
    EXPECT_FALSE(share.may_open(15, backends::connection_pressure::waiting, at(0)));
}

backends::promotion_candidate candidate(std::string id, std::uint64_t received) {
    return {std::move(id), {backends::listed_role::replica, 3, log_position{3, received}}};
}

backends::promotion_candidate primary_candidate(std::string id, std::uint64_t received) {
    return {std::move(id), {backends::listed_role::primary, 3, log_position{3, received}}};
}

// Guards against two databases that become primary one after the other: an accepted promotion request may
// take effect later. In a fault-injection run, the first one acknowledged writes after the promotion of the
// second one.
TEST(choose_promotion, KeepsToTheOrderedDatabaseUntilItIsRefused) {
    backends::promotion_state state;
    state.target_ = "a";
    state.candidates_ = {candidate("b", 99)};
    EXPECT_EQ(backends::choose_promotion(state),
              (backends::promotion_choice{backends::promotion_step::request, "a"}));
    state.is_target_refused_ = true;
    state.refused_ = {"a"};
    EXPECT_EQ(backends::choose_promotion(state),
              (backends::promotion_choice{backends::promotion_step::request, "b"}));
}

// Guards against choosing a second database because the platform refuses to repeat a request that is about to
// take effect.
TEST(is_refusal_final, IsNotFinalWhileAnEarlierOrderMayTakeEffect) {
    EXPECT_TRUE(backends::is_refusal_final(std::nullopt));
    EXPECT_FALSE(backends::is_refusal_final(ms(0)));
    EXPECT_FALSE(backends::is_refusal_final(ms(2'500)));
    EXPECT_TRUE(backends::is_refusal_final(ms(60'000)));
}

// Guards against promoting a second database because the first promotion takes effect late.
TEST(is_promotion_futile, HoldsAfterRepeatedRequestsWithoutEffect) {
    EXPECT_FALSE(backends::is_promotion_futile(0));
    EXPECT_FALSE(backends::is_promotion_futile(1));
    EXPECT_TRUE(backends::is_promotion_futile(2));
    EXPECT_TRUE(backends::is_promotion_futile(3));
}

// Guards against settling on a replaced primary. In a fault-injection run, the promotion of database "a" took
// effect unnoticed, "a" became unreachable, and the previous primary, which had not heard of "a", still
// reported its role. It was settled on at once, and its writes of the old term were acknowledged.
TEST(choose_promotion, SkipsAPrimaryOfAnEarlierTermAfterARefusedRequest) {
    backends::promotion_state state;
    state.target_ = "a";
    state.is_target_refused_ = true;
    state.refused_ = {"a"};
    state.candidates_ = {primary_candidate("old", 99), candidate("b", 7)};
    EXPECT_EQ(backends::choose_promotion(state),
              (backends::promotion_choice{backends::promotion_step::request, "b"}));
    state.candidates_ = {primary_candidate("old", 99)};
    EXPECT_EQ(backends::choose_promotion(state).step_, backends::promotion_step::wait);
}

// Guards against settling on a primary that an earlier takeover replaced. In a fault-injection run, the
// database of that takeover led for less than a second before it became unreachable, so the one before kept
// its role.
TEST(choose_promotion, SkipsAPrimaryOfATermBeforeTheLastTakeover) {
    backends::promotion_state state;
    state.primary_term_ = 4;
    state.candidates_ = {primary_candidate("old", 99), candidate("b", 7)};
    EXPECT_EQ(backends::choose_promotion(state).database_, "b");
    state.may_wait_ = true;
    EXPECT_EQ(backends::choose_promotion(state).step_, backends::promotion_step::wait);
    state.candidates_ = {primary_candidate("old", 99)};
    EXPECT_EQ(backends::choose_promotion(state).step_, backends::promotion_step::wait);
    state.primary_term_ = 3;
    EXPECT_EQ(backends::choose_promotion(state).database_, "old");
}

// Guards against a takeover that never ends because the requested database leads by the time it is seen
// again.
TEST(choose_promotion, ReturnsToTheRequestedDatabaseOnceItLeads) {
    backends::promotion_state state;
    state.target_ = "a";
    state.is_target_refused_ = true;
    state.candidates_ = {primary_candidate("a", 7), candidate("b", 6)};
    EXPECT_EQ(backends::choose_promotion(state).database_, "a");
}

// Guards against losing the log of a primary that restarted before any promotion was requested.
TEST(choose_promotion, AcceptsAPrimaryBeforeTheFirstRequest) {
    backends::promotion_state state;
    state.candidates_ = {primary_candidate("a", 7), candidate("b", 6)};
    EXPECT_EQ(backends::choose_promotion(state).database_, "a");
}

TEST(choose_promotion, CompletesOnlyWithTheOrderedDatabase) {
    backends::promotion_state state;
    state.target_ = "a";
    state.is_target_leading_ = true;
    EXPECT_EQ(backends::choose_promotion(state),
              (backends::promotion_choice{backends::promotion_step::complete, "a"}));
}

// Guards against losing acknowledged commits that another replica has received.
TEST(choose_promotion, PrefersTheReplicaThatReceivedMost) {
    backends::promotion_state state;
    state.candidates_ = {candidate("a", 10), candidate("b", 12), candidate("c", 11)};
    EXPECT_EQ(backends::choose_promotion(state).database_, "b");
}

TEST(choose_promotion, WaitsForTheRestOfTheLogAfterAnOrderlyStop) {
    backends::promotion_state state;
    state.candidates_ = {candidate("a", 10)};
    state.final_position_ = log_position{3, 11};
    state.may_wait_ = true;
    EXPECT_EQ(backends::choose_promotion(state).step_, backends::promotion_step::wait);
    state.may_wait_ = false;
    EXPECT_EQ(backends::choose_promotion(state).step_, backends::promotion_step::request);
}

// Guards against urgent statements that wait at a database behind other statements from this daemon.
TEST(statement_window, AllowsTheUrgentPriorityAnAdditionalSlot) {
    backends::statement_window window;
    for (std::int64_t elapsed : {10, 10, 10, 400, 400, 400, 400, 400}) {
        for (const auto slots : {1U, 2U, 5U, 20U}) {
            EXPECT_GT(window.max_running(slots, 5, 0, at(1'000)), window.max_running(slots, 5, 1, at(1'000)));
        }
        window.note_response(ms(elapsed), 1, at(1'000));
    }
}

// Guards against daemons that send no more statements to a database after it was congested once.
TEST(statement_window, AllowsAStatementAfterADelay) {
    backends::statement_window window;
    window.note_response(ms(10), 1, at(0));
    for (int index = 0; index < 200; ++index) {
        window.note_refused(at(1'000));
    }
    EXPECT_EQ(window.max_running(6, 31, 1, at(1'000)), 0U);
    EXPECT_EQ(window.max_running(6, 31, 1, at(2'000)), 1U);
}

TEST(statement_window, GrowsAgainWhenStatementsTakeTheirTypicalTime) {
    backends::statement_window window;
    for (int index = 0; index < 50; ++index) {
        window.note_response(ms(10), 1, at(index));
    }
    const auto typical = window.size(6, 31, 1);
    EXPECT_EQ(typical, static_cast<double>(backends::normal_window(6, 31)));
    for (int index = 0; index < 30; ++index) {
        window.note_response(ms(200), 1, at(1'000 + index));
    }
    EXPECT_LT(window.size(6, 31, 1), 1.0);
    for (int index = 0; index < 400; ++index) {
        window.note_response(ms(10), 1, at(2'000 + index));
    }
    EXPECT_EQ(window.size(6, 31, 1), typical);
}

TEST(typical_duration, IsTheLowestRecentMean) {
    backends::typical_duration typical;
    for (int index = 0; index < 100; ++index) {
        typical.note(ms(10));
    }
    EXPECT_NEAR(typical.lowest_ms(), 10.0, 1.0);
    for (int index = 0; index < 100; ++index) {
        typical.note(ms(40));
    }
    EXPECT_LT(typical.lowest_ms(), 20.0);
    for (int index = 0; index < 5'000; ++index) {
        typical.note(ms(40));
    }
    EXPECT_NEAR(typical.lowest_ms(), 40.0, 4.0);
}

// Guards against taking a change of the workload for congestion: under a low load, reads of 33 ms went to a
// primary that had run only writes of 11 ms, and daemons refused some of them.
TEST(statement_window, IsUnaffectedByLongerStatementsOfAnotherPriority) {
    backends::statement_window window;
    for (int index = 0; index < 100; ++index) {
        window.note_response(ms(11), 0, at(index));
    }
    for (int index = 0; index < 100; ++index) {
        window.note_response(ms(33), 1, at(1'000 + index));
        window.note_response(ms(55), 2, at(1'000 + index));
        EXPECT_FALSE(window.is_congested());
    }
}

TEST(wait_estimate, GrowsWithTheQueueAndShrinksWithCapacity) {
    backends::wait_estimate estimate;
    for (int index = 0; index < 200; ++index) {
        estimate.note(ms(20));
    }
    EXPECT_EQ(estimate.wait_for(0, 4), ms(0));
    EXPECT_NEAR(static_cast<double>(estimate.wait_for(8, 4).count()), 40.0, 2.0);
}

backends::promotion_candidate report_of(std::string id, backends::listed_role role, std::uint64_t term) {
    return {std::move(id), {role, term, base::log_position{term, 5}}};
}

// Guards against a replaced primary that is confirmed because it still reports the role, and against a choice
// between databases that cannot be told apart.
TEST(find_leading, TakesThePrimaryOfTheLatestTerm) {
    using backends::find_leading;
    using backends::listed_role;
    const auto old_primary = report_of("i-0", listed_role::primary, 2);
    const auto new_primary = report_of("i-1", listed_role::primary, 3);
    const auto follower = report_of("i-2", listed_role::replica, 3);
    const auto leading = find_leading({old_primary, new_primary, follower}, 2);
    ASSERT_TRUE(leading);
    EXPECT_EQ(leading->id_, "i-1");
    // The primary that the follower has heard of does not answer.
    EXPECT_FALSE(find_leading({old_primary, follower}, 2));
    EXPECT_FALSE(find_leading({new_primary, report_of("i-3", listed_role::primary, 3)}, 2));
    // A primary of a later term is known.
    EXPECT_FALSE(find_leading({old_primary, new_primary}, 4));
    EXPECT_FALSE(find_leading({}, 0));
}

} // namespace
