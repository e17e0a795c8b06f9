#include <proxy/stop_progress.hpp>

#include <gtest/gtest.h>

namespace {

using callers::session_step;
using proxy::drain_step;
using proxy::is_refused_while_stopping;

// Guards against statements that a stopping daemon passes on although it exits before they are answered.
TEST(stop_progress, RefusesAllNewWorkInTheLastStep) {
    for (const auto action : {session_step::begin, session_step::run_single, session_step::run_in_transaction,
                              session_step::commit}) {
        EXPECT_TRUE(is_refused_while_stopping(drain_step::refusing, action));
        EXPECT_FALSE(is_refused_while_stopping(drain_step::closing_sessions, action));
    }
}

// Guards against transactions that are begun only to be rolled back.
TEST(stop_progress, BeginsNoTransactionWhileTransactionsAreClosed) {
    EXPECT_TRUE(is_refused_while_stopping(drain_step::closing_transactions, session_step::begin));
    EXPECT_FALSE(is_refused_while_stopping(drain_step::closing_transactions, session_step::run_single));
}

// Guards against a client that cannot end its transaction while the daemon stops.
TEST(stop_progress, LetsTransactionsEnd) {
    EXPECT_FALSE(is_refused_while_stopping(drain_step::refusing, session_step::end_failed));
    EXPECT_FALSE(is_refused_while_stopping(drain_step::refusing, session_step::end_unstarted));
    EXPECT_FALSE(is_refused_while_stopping(drain_step::refusing, session_step::rollback));
}

TEST(stop_progress, LetsStatementsRunWithoutAnEndBeforeAStop) {
    const proxy::stop_progress progress;
    EXPECT_EQ(progress.step(), drain_step::serving);
    EXPECT_EQ(progress.statements_end(), base::clock::time_point::max());
}

} // namespace
