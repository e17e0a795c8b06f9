#include <base/event.hpp>

#include <gtest/gtest.h>

#include <spdlog/sinks/ostream_sink.h>
#include <spdlog/spdlog.h>

#include <memory>
#include <sstream>
#include <string>

namespace {

constexpr base::event_definition sample{1, "sample", base::severity::error, "Happens in tests only."};

// Returns the line that is logged for an event with one field.
std::string logged_line(const std::string& value) {
    std::ostringstream output;
    const auto previous = spdlog::default_logger();
    auto logger =
        std::make_shared<spdlog::logger>("test", std::make_shared<spdlog::sinks::ostream_sink_mt>(output));
    logger->set_pattern("%v");
    spdlog::set_default_logger(logger);
    base::log_event(sample, {{"id", value}, {"at", "i-1"}});
    logger->flush();
    spdlog::set_default_logger(previous);
    return output.str();
}

} // namespace

// Guards against a text of a client that forges fields or lines of the log, or that reaches the terminal of
// its reader as an escape sequence.
TEST(log_event, KeepsEachValueInItsField) {
    EXPECT_EQ(logged_line("7f"), "E1 sample id=7f at=i-1\n");
    EXPECT_EQ(logged_line("a at=x"), "E1 sample id=\"a at=x\" at=i-1\n");
    EXPECT_EQ(logged_line("a\\b"), "E1 sample id=a\\b at=i-1\n");
    EXPECT_EQ(logged_line("a\" \\"), "E1 sample id=\"a\\\" \\\\\" at=i-1\n");
    for (int code = 0; code <= 0x7F; ++code) {
        const bool is_control = code < ' ' || code == 0x7F;
        if (is_control) {
            EXPECT_EQ(logged_line("a" + std::string(1, static_cast<char>(code)) + "b"),
                      "E1 sample id=\"a b\" at=i-1\n")
                << code;
        }
    }
}

// Guards against a log that fills the memory with texts of clients.
TEST(log_event, ShortensLongValues) {
    const std::string longest(base::max_logged_value_bytes, 'x');
    EXPECT_EQ(logged_line(longest), "E1 sample id=" + longest + " at=i-1\n");
    EXPECT_EQ(logged_line(longest + "y"), "E1 sample id=" + longest + "... at=i-1\n");
    EXPECT_EQ(logged_line(longest + " \n"), "E1 sample id=" + longest + "... at=i-1\n");
}
