#include <proxy/running_statements.hpp>

#include <gtest/gtest.h>

#include <vector>

namespace {

struct closable {
    void close() { is_closed_ = true; }
    bool is_closed_ = false;
};

using statements = proxy::running_statements<closable>;

base::clock::time_point at(std::int64_t milliseconds) {
    return base::clock::time_point{base::clock::duration{milliseconds}};
}

} // namespace

// Guards against a statement of the present primary that is given up with those of the replaced one.
TEST(running_statements, gives_up_only_older_terms) {
    statements all;
    closable old_one;
    closable new_one;
    const statements::registration first{all, {"d1", 1, &old_one, at(0)}};
    const statements::registration second{all, {"d2", 2, &new_one, at(0)}};
    all.cancel_before(2);
    EXPECT_TRUE(old_one.is_closed_);
    EXPECT_FALSE(new_one.is_closed_);
}

// Guards against giving up statements that started after the lost flow or that had too little time to answer,
// and those of other databases.
TEST(running_statements, gives_up_what_was_silent_when_the_flow_was_lost) {
    statements all;
    std::vector<closable> connections(4);
    const statements::registration silent{all, {"d1", 1, &connections[0], at(0)}};
    const statements::registration recent{all, {"d1", 1, &connections[1], at(400)}};
    const statements::registration after{all, {"d1", 1, &connections[2], at(1'000)}};
    const statements::registration other{all, {"d2", 1, &connections[3], at(0)}};
    all.cancel_silent("d1", at(800), at(50));
    EXPECT_TRUE(connections[0].is_closed_);
    EXPECT_FALSE(connections[1].is_closed_);
    EXPECT_FALSE(connections[2].is_closed_);
    EXPECT_FALSE(connections[3].is_closed_);
    all.cancel_silent("d1", at(800), at(2'000));
    EXPECT_TRUE(connections[1].is_closed_);
    EXPECT_FALSE(connections[2].is_closed_);
    EXPECT_EQ(all.count_on("d1"), 3U);
}

// Guards against a statement that stays listed after its answer, whose connection may then serve another.
TEST(running_statements, a_registration_ends_with_its_scope) {
    statements all;
    closable connection;
    { const statements::registration answered{all, {"d1", 1, &connection, at(0)}}; }
    all.cancel_all();
    EXPECT_EQ(all.count_on("d1"), 0U);
    EXPECT_FALSE(connection.is_closed_);
}
