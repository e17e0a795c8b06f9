#include <stand_ins/database/decisions.hpp>
#include <stand_ins/database/journal.hpp>

#include <gtest/gtest.h>

#include <cstdio>
#include <fstream>
#include <string>

namespace {

using namespace stand_ins::database;

std::string empty_journal(const std::string& name) {
    auto path = testing::TempDir() + "sassafrasdeal_" + name + ".journal";
    std::remove(path.c_str());
    return path;
}

void change(database_state& state, journal& kept, const state_changes& changes) {
    EXPECT_TRUE(kept.write(changes));
    state.apply(changes);
}

} // namespace

// Guards against a database that forgets its term, its log or an outcome in a restart, also when its process
// died while it wrote a line.
TEST(journal, restart_restores_everything_that_was_answered) {
    const auto path = empty_journal("restart");
    database_state before;
    {
        auto kept = journal::open(path, before);
        ASSERT_TRUE(kept);
        change(before, *kept, start_group());
        const database_request request{
            database_request_fields{.term_ = 1, .statements_ = {"set k 1"}, .key_ = "key"}};
        change(before, *kept, decide_settle(before, request).changes_);
        change(before, *kept, {truncation{1}, term_record{3, "quoted \"proposer\"\n", 0}});
    }
    std::ofstream{path, std::ios::app} << R"({"change":"entry","entry":{"ter)";
    database_state after;
    ASSERT_TRUE(journal::open(path, after));
    EXPECT_EQ(after.entries(), before.entries());
    EXPECT_EQ(after.terms(), before.terms());
    EXPECT_FALSE(after.find_outcome("key"));
    database_state again;
    EXPECT_TRUE(journal::open(path, again));
    std::remove(path.c_str());
}

// Guards against a damaged journal that is taken for an empty one.
TEST(journal, damaged_line_is_an_error) {
    const auto path = empty_journal("damaged");
    std::ofstream{path} << "not a change\n";
    database_state state;
    const auto opened = journal::open(path, state);
    ASSERT_FALSE(opened);
    EXPECT_EQ(opened.last_reason().kind(), base::error_kind::settings_invalid);
    std::remove(path.c_str());
}
