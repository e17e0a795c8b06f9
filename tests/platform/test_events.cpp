#include <platform/events.hpp>

#include <gtest/gtest.h>

#include <fstream>
#include <sstream>
#include <string>

namespace {

std::string_view name_of(base::severity severity) {
    switch (severity) {
    case base::severity::debug:
        return "debug";
    case base::severity::info:
        return "info";
    case base::severity::warning:
        return "warning";
    case base::severity::error:
        return "error";
    }
    return "";
}

std::string table_of_definitions() {
    std::ostringstream table;
    for (const auto* event : platform::events::all) {
        table << "| " << event->number_ << " | " << event->name_ << " | " << name_of(event->severity_)
              << " | " << event->summary_ << " |\n";
    }
    return table.str();
}

std::string rows_of_catalogue() {
    std::ifstream file{SASSAFRASDEAL_SOURCE_FOLDER "/docs/events/platform.md"};
    std::string rows;
    for (std::string line; std::getline(file, line);) {
        if (line.starts_with("| 4")) {
            rows.append(line).append("\n");
        }
    }
    return rows;
}

} // namespace

// Guards against a catalogue that differs from what the package logs, and against numbers outside 400 to 499.
TEST(events, catalogue_lists_every_definition) {
    EXPECT_EQ(rows_of_catalogue(), table_of_definitions());
    for (const auto* event : platform::events::all) {
        EXPECT_EQ(event->number_ / 100, 4);
    }
}
