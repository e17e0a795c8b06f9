#include <utilities/sassafras_soak/statement_check.hpp>

#include <gtest/gtest.h>

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace {

using stand_ins::refused_statement;
using stand_ins::seen_statement;
using lines = std::vector<std::string>;

const std::map<std::string, std::string> values{{"note", "two  blanks "}};

/// What a client sent: the statement 1 executes a prepared read, 2 is a plain write, 3 executes an unknown
/// name.
soak::sent_statements sent() {
    return {{"1", {"EXECUTE s3 k1", values, "FETCH q2c FETCH ssf", {}}},
            {"2", {"STORE k1 v2  two  blanks", values, {}, {}}},
            {"3", {"EXECUTE s4 k1", values, {}, {}}}};
}

lines check_ran(seen_statement ran) {
    return soak::check_statements(sent(), "i-0", {std::move(ran)}, {});
}

lines check_refused(refused_statement refused) {
    return soak::check_statements(sent(), "i-0", {}, {std::move(refused)});
}

TEST(statement_check, FindsNothingInStatementsThatRanAsTheyWereSent) {
    EXPECT_TRUE(soak::check_statements(sent(), "i-0",
                                       {{"-", "BEGIN", {}, {}},
                                        {"-", "BEGIN FETCH", {}, {}},
                                        {"1", "EXECUTE s3 k1", values, "FETCH q2c FETCH ssf"},
                                        {"2", "STORE k1 v2  two  blanks", values, {}},
                                        {"-", "ROLLBACK", {}, {}}},
                                       {{"3", "EXECUTE s4 k1", "NOSTMT"}})
                    .empty());
}

TEST(statement_check, AllowsPreparedStatementsToBeRenamed) {
    EXPECT_TRUE(check_ran({"1", "EXECUTE p17 k1", values, "FETCH q2c FETCH ssf"}).empty());
}

// Guards against a soak that overlooks a name of several fields, which changes the item of the statement: a
// database ran `EXECUTE rq2c FETCH ssf k1` for `EXECUTE s3 k1` (incident lumipaiva-prepared-names).
TEST(statement_check, FindsAPreparedNameOfSeveralFields) {
    EXPECT_EQ(check_ran({"1", "EXECUTE rq2c FETCH ssf k1", values, "FETCH q2c FETCH ssf"}),
              (lines{"i-0 ran 'EXECUTE rq2c FETCH ssf k1' for 'EXECUTE s3 k1' of 1: the text was changed"}));
}

// Guards against a soak that overlooks a name that two shapes share at a database.
TEST(statement_check, FindsAnotherShapeUnderThePreparedName) {
    EXPECT_EQ(check_ran({"1", "EXECUTE s3 k1", values, "FETCH q2c FETCH abc"}).size(), 1U);
    EXPECT_EQ(check_ran({"1", "EXECUTE s3 k1", values, "STORE q2c FETCH ssf"}).size(), 1U);
}

// Guards against a soak that overlooks names that outlive their deallocation.
TEST(statement_check, FindsAnExecutionThatTheClientHadNotPrepared) {
    EXPECT_EQ(check_ran({"3", "EXECUTE s4 k1", values, "FETCH q"}).size(), 1U);
}

// Guards against a soak that overlooks changed blanks.
TEST(statement_check, FindsAChangedText) {
    EXPECT_EQ(check_ran({"2", "STORE k1 v2 two blanks", values, {}}).size(), 1U);
    EXPECT_EQ(check_ran({"2", "STORE k1 v2  two  blanks ", values, {}}).size(), 1U);
    EXPECT_EQ(check_ran({"1", "EXECUTE s3 k1 ", values, "FETCH q2c FETCH ssf"}).size(), 1U);
}

// Guards against a soak that overlooks statements that no client sent.
TEST(statement_check, FindsAStatementThatNoClientSent) {
    EXPECT_EQ(check_ran({"4", "FETCH k1", {}, {}}).size(), 1U);
    for (const std::string text : {"FETCH k1", "STORE k1 v", "EXECUTE s3 k1", "COMMIT"}) {
        EXPECT_EQ(check_ran({"-", text, {}, {}}).size(), 1U) << text;
    }
}

// Guards against a soak that overlooks values of another session.
TEST(statement_check, FindsSessionValuesThatWereNotAcknowledged) {
    EXPECT_EQ(check_ran({"2", "STORE k1 v2  two  blanks", {}, {}}).size(), 1U);
    EXPECT_EQ(check_ran({"2", "STORE k1 v2  two  blanks", {{"note", "two blanks"}}, {}}).size(), 1U);
}

// Guards against a soak that overlooks lines that a database cannot read.
TEST(statement_check, FindsAStatementThatADatabaseRefused) {
    EXPECT_EQ(check_refused({"-", "PREPARE rq2c abc FETCH q2c abc", "MALFORMED"}).size(), 1U);
    EXPECT_EQ(check_refused({"1", "EXECUTE rq2c abc k1", "NOSTMT"}).size(), 1U);
    EXPECT_EQ(check_refused({"4", "EXECUTE s1 k1", "NOSTMT"}).size(), 1U);
}

// Guards against a soak that overlooks prepared names that a daemon forgets.
TEST(statement_check, FindsAnAcknowledgedNameThatIsCalledUnknown) {
    auto all = sent();
    all.at("3").error_ = "NOSTMT s4";
    EXPECT_TRUE(soak::check_prepared_names(all).empty());
    all.at("1").error_ = "NOSTMT s3";
    EXPECT_EQ(soak::check_prepared_names(all).size(), 1U);
}

} // namespace
