#include <backends/load_events.hpp>

#include <gtest/gtest.h>

#include <array>
#include <fstream>
#include <set>
#include <sstream>
#include <string>

namespace {

std::string_view name_of(base::severity severity) {
    constexpr std::array<std::string_view, 4> names{"debug", "info", "warning", "error"};
    return names.at(static_cast<std::size_t>(severity));
}

} // namespace

// Guards against a catalogue that lacks an event, lists one that is gone, or tells something else than the
// log.
TEST(load_events, catalogue_lists_exactly_the_definitions) {
    std::ifstream file{SASSAFRASDEAL_SOURCE_FOLDER "/docs/events/backends_load.md"};
    std::set<std::string> listed;
    for (std::string line; std::getline(file, line);) {
        if (line.starts_with("| 3")) {
            listed.insert(line);
        }
    }
    std::set<std::string> defined;
    std::set<int> numbers;
    for (const auto* definition : backends::load_events::all) {
        std::ostringstream row;
        row << "| " << definition->number_ << " | " << definition->name_ << " | "
            << name_of(definition->severity_) << " | " << definition->summary_ << " |";
        defined.insert(row.str());
        EXPECT_TRUE(numbers.insert(definition->number_).second) << definition->number_;
        EXPECT_TRUE(definition->number_ >= 350 && definition->number_ <= 399) << definition->number_;
    }
    EXPECT_EQ(listed, defined);
}
