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

// Guards against cancelling a statement of the current primary together with those of the replaced one.
TEST(running_statements, cancels_only_older_terms) {
    statements statements_in_flight;
    closable older;
    closable current;
    const statements::registration first{statements_in_flight, {"d1", 1, &older, at(0)}};
    const statements::registration second{statements_in_flight, {"d2", 2, &current, at(0)}};
    statements_in_flight.cancel_before(2);
    EXPECT_TRUE(older.is_closed_);
    EXPECT_FALSE(current.is_closed_);
}

// Guards against cancelling statements that started after the replication flow was lost, statements that had
// too little time for a response, and statements of other databases.
TEST(running_statements, cancels_what_was_silent_when_the_flow_was_lost) {
    statements statements_in_flight;
    std::vector<closable> connections(4);
    const statements::registration silent{statements_in_flight, {"d1", 1, &connections[0], at(0)}};
    const statements::registration recent{statements_in_flight, {"d1", 1, &connections[1], at(400)}};
    const statements::registration after{statements_in_flight, {"d1", 1, &connections[2], at(1'000)}};
    const statements::registration other{statements_in_flight, {"d2", 1, &connections[3], at(0)}};
    statements_in_flight.cancel_silent("d1", at(800), at(50));
    EXPECT_TRUE(connections[0].is_closed_);
    EXPECT_FALSE(connections[1].is_closed_);
    EXPECT_FALSE(connections[2].is_closed_);
    EXPECT_FALSE(connections[3].is_closed_);
    statements_in_flight.cancel_silent("d1", at(800), at(2'000));
    EXPECT_TRUE(connections[1].is_closed_);
    EXPECT_FALSE(connections[2].is_closed_);
    EXPECT_EQ(statements_in_flight.count_on("d1"), 3U);
}

// Guards against a statement that stays listed after its response: its connection may then serve another
// statement, which a later cancellation would close.
TEST(running_statements, a_registration_ends_with_its_scope) {
    statements statements_in_flight;
    closable connection;
    { const statements::registration answered{statements_in_flight, {"d1", 1, &connection, at(0)}}; }
    statements_in_flight.cancel_all();
    EXPECT_EQ(statements_in_flight.count_on("d1"), 0U);
    EXPECT_FALSE(connection.is_closed_);
}
