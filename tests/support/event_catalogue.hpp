#pragma once

#include <base/event.hpp>

#include <gtest/gtest.h>

#include <array>
#include <fstream>
#include <sstream>
#include <string>

namespace support {

/// Returns the row of an event as it stands in the catalogue.
inline std::string catalogue_row(const base::event_definition& event) {
    constexpr std::array severities{"debug", "info", "warning", "error"};
    std::ostringstream row;
    row << "| " << event.number_ << " | " << event.name_ << " | "
        << severities.at(static_cast<std::size_t>(event.severity_)) << " | " << event.summary_ << " |";
    return row.str();
}

/// Returns the rows of the catalogue whose number is from `first` to `last`, one a line.
inline std::string catalogue_rows(int first, int last) {
    std::ifstream file{SASSAFRASDEAL_SOURCE_FOLDER "/docs/events.md"};
    std::string rows;
    for (std::string line; std::getline(file, line);) {
        std::istringstream cells{line};
        std::string bar;
        int number = 0;
        if (cells >> bar >> number && bar == "|" && number >= first && number <= last) {
            rows.append(line).append("\n");
        }
    }
    return rows;
}

/// Checks that the catalogue lists exactly these definitions in ascending order, and that their numbers are
/// in the range of their package.
template <typename Definitions>
void expect_catalogue(const Definitions& definitions, int first, int last) {
    std::string expected;
    int previous = first - 1;
    for (const auto* event : definitions) {
        EXPECT_GT(event->number_, previous) << event->name_;
        EXPECT_LE(event->number_, last) << event->name_;
        previous = event->number_;
        expected.append(catalogue_row(*event)).append("\n");
    }
    EXPECT_EQ(catalogue_rows(first, last), expected);
}

} // namespace support
