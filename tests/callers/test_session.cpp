#include <callers/session_progress.hpp>
#include <callers/session_values.hpp>

#include <gtest/gtest.h>

#include <initializer_list>

namespace {

using callers::decide_step;
using callers::session_phase;
using callers::session_step;
using callers::statement_kind;

// Guards against executing statements of a transaction that has failed.
TEST(decide_step, AcceptsOnlyTheEndOfAFailedTransaction) {
    for (const auto kind : {statement_kind::read, statement_kind::write, statement_kind::execute,
                            statement_kind::begin, statement_kind::set_value, statement_kind::prepare}) {
        EXPECT_EQ(decide_step(session_phase::failed, kind), session_step::refuse_malformed);
    }
    EXPECT_EQ(decide_step(session_phase::failed, statement_kind::commit), session_step::end_failed);
    EXPECT_EQ(decide_step(session_phase::failed, statement_kind::rollback), session_step::end_failed);
}

// Guards against executing a statement outside the transaction that it belongs to.
TEST(decide_step, KeepsStatementsInsideTheirTransaction) {
    for (const auto phase : {session_phase::begun, session_phase::open}) {
        EXPECT_EQ(decide_step(phase, statement_kind::write), session_step::run_in_transaction);
        EXPECT_EQ(decide_step(phase, statement_kind::commit), session_step::commit);
        EXPECT_EQ(decide_step(phase, statement_kind::begin), session_step::refuse_malformed);
    }
    EXPECT_EQ(decide_step(session_phase::idle, statement_kind::write), session_step::run_single);
    EXPECT_EQ(decide_step(session_phase::idle, statement_kind::commit), session_step::refuse_malformed);
}

TEST(decide_step, EndsAnUnstartedTransactionWithoutADatabase) {
    EXPECT_EQ(decide_step(session_phase::begun, statement_kind::rollback), session_step::end_unstarted);
    EXPECT_EQ(decide_step(session_phase::open, statement_kind::rollback), session_step::rollback);
}

TEST(session_values, StoresTheLatestValueAndRemovesDeallocatedNames) {
    callers::session_values values;
    EXPECT_TRUE(values.set("lang", "hr"));
    EXPECT_TRUE(values.set("lang", "fi"));
    EXPECT_EQ(values.values().at("lang"), "fi");
    EXPECT_TRUE(values.prepare("s1", {base::prepared_effect::reads, "q"}));
    EXPECT_TRUE(values.prepare("s1", {base::prepared_effect::writes, "q"}));
    EXPECT_EQ(values.find_prepared("s1")->effect_, base::prepared_effect::writes);
    EXPECT_TRUE(values.deallocate("s1"));
    EXPECT_FALSE(values.deallocate("s1"));
    EXPECT_EQ(values.find_prepared("s1"), std::nullopt);
}

// Guards against a client that makes the daemon hold any amount of memory with values and prepared
// statements.
TEST(session_values, RefusesWhatExceedsItsSizeAndKeepsTheRest) {
    callers::session_values values;
    const std::string half(callers::session_values::max_bytes / 2, 'x');
    EXPECT_TRUE(values.set("a", half));
    EXPECT_FALSE(values.prepare("s1", {base::prepared_effect::reads, half}));
    EXPECT_EQ(values.find_prepared("s1"), std::nullopt);
    EXPECT_TRUE(values.set("a", half));
    EXPECT_TRUE(values.set("a", "1"));
    EXPECT_TRUE(values.prepare("s1", {base::prepared_effect::reads, half}));
    EXPECT_FALSE(values.set("a", half));
    EXPECT_EQ(values.values().at("a"), "1");
    EXPECT_TRUE(values.deallocate("s1"));
    EXPECT_TRUE(values.set("a", half));
    int accepted = 0;
    while (accepted < 100'000 && values.set("n" + std::to_string(accepted), {})) {
        ++accepted;
    }
    EXPECT_LT(accepted, 100'000);
}

} // namespace
