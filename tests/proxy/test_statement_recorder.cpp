#include <proxy/statement_recorder.hpp>

#include <gtest/gtest.h>

#include <string>

namespace {

std::string report(proxy::statement_recorder& recorder) {
    testing::internal::CaptureStdout();
    recorder.report_dropped(0);
    return testing::internal::GetCapturedStdout();
}

backends::statement_trace executed_on(std::uint64_t connection) {
    backends::statement_trace trace;
    trace.connection_ = connection;
    trace.prepared_name_ = "r1";
    return trace;
}

// Guards against an execution that no line mentions when its own line is dropped.
TEST(statement_recorder, ListsExecutionsWithoutALine) {
    proxy::statement_recorder recorder;
    recorder.note_unlogged_execution("5c", executed_on(7));
    recorder.note_unlogged_execution("5d", executed_on(8));
    EXPECT_NE(report(recorder).find("E134 executions_listed executions=\"5c 7 r1;5d 8 r1;\""),
              std::string::npos);
    EXPECT_EQ(report(recorder), "");
}

// Guards against lists of unbounded length, and against executions that are left out of them silently.
TEST(statement_recorder, BoundsTheListOfExecutions) {
    proxy::statement_recorder recorder;
    // An entry has 64 bytes: 32 of the id, 7 of the connection, 22 of the name, and 3 separators.
    constexpr std::size_t listed = 4'096 / 64;
    backends::statement_trace trace = executed_on(1'234'567);
    trace.prepared_name_.assign(22, 'r');
    for (std::size_t number = 0; number < listed + 10; ++number) {
        recorder.note_unlogged_execution(std::string(100, 'i'), trace);
    }
    testing::internal::CaptureStdout();
    for (int number = 0; number < 1'000; ++number) {
        static_cast<void>(recorder.may_log(backends::statement_status::done));
    }
    recorder.report_dropped(0);
    const auto lines = testing::internal::GetCapturedStdout();
    EXPECT_LT(lines.size(), 4'096 + 400U);
    EXPECT_NE(lines.find("E133 lines_dropped"), std::string::npos);
    EXPECT_NE(lines.find(" unlisted=10"), std::string::npos) << lines;
}

} // namespace
