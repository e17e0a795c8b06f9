#include <backends/preparation_log.hpp>

#include <gtest/gtest.h>

#include <atomic>
#include <cstdint>
#include <string>

namespace {

using backends::preparation_log;

std::string logged(preparation_log& log, const std::string& shape) {
    testing::internal::CaptureStdout();
    log.record({"svc", "i-0", 7, base::prepared_effect::reads, shape, "r1", "5c"});
    return testing::internal::GetCapturedStdout();
}

// Guards against a statement whose name at a database cannot be found from the log.
TEST(preparation_log, NamesConnectionShapeAndStatement) {
    std::atomic<std::uint64_t> total{0};
    preparation_log log{total};
    EXPECT_NE(logged(log, "q2c FETCH abc")
                  .find("E367 statement_prepared service=svc database=i-0 connection=7 effect=reads name=r1 "
                        "shape=\"q2c FETCH abc\" shape_bytes=13 cut=no id=5c"),
              std::string::npos);
    EXPECT_EQ(total, 1U);
}

// Guards against lines of unbounded length: a shape may be as long as a line of the protocol.
TEST(preparation_log, CutsLongShapes) {
    std::atomic<std::uint64_t> total{0};
    preparation_log log{total};
    const auto line = logged(log, std::string(1000, 'q'));
    EXPECT_NE(line.find("shape_bytes=1000 cut=yes"), std::string::npos);
    EXPECT_NE(line.find(" shape=" + std::string(64, 'q') + " "), std::string::npos);
}

// Guards against lines that are dropped without a trace.
TEST(preparation_log, CountsWhatItDrops) {
    std::atomic<std::uint64_t> total{0};
    preparation_log log{total};
    constexpr std::uint64_t count = 5'000;
    testing::internal::CaptureStdout();
    for (std::uint64_t number = 0; number < count; ++number) {
        log.record({"svc", "i-0", 7, base::prepared_effect::reads, "q", "r1", "5c"});
    }
    const auto lines = testing::internal::GetCapturedStdout();
    std::uint64_t written = 0;
    for (auto at = lines.find("E367"); at != std::string::npos; at = lines.find("E367", at + 1)) {
        ++written;
    }
    const auto dropped = log.take_dropped_count();
    EXPECT_GT(dropped, 0U);
    EXPECT_EQ(written + dropped, count);
    EXPECT_EQ(total, count);
    EXPECT_EQ(log.take_dropped_count(), 0U);
}

} // namespace
