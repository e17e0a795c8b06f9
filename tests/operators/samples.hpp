#pragma once

#include <operators/keyed_file.hpp>
#include <operators/service_declaration.hpp>

#include <gtest/gtest.h>

#include <string>

namespace samples {

/// Returns the content of a file in the repository. A missing file fails the test.
inline std::string read_source_file(const std::string& path) {
    auto text = operators::read_whole_file(std::string{SASSAFRASDEAL_SOURCE_FOLDER} + "/" + path);
    if (!text) {
        ADD_FAILURE() << text.last_reason().to_string();
        return "";
    }
    return *std::move(text);
}

/// Returns a declaration with three databases whose ports start at `first_port`.
inline operators::service_declaration declare(const std::string& name, std::uint16_t first_port) {
    operators::service_declaration_fields fields;
    fields.name_ = name;
    fields.region_ = "croatia";
    for (std::uint16_t number = 0; number < 3; ++number) {
        const std::string domain(1, static_cast<char>('a' + number));
        const auto port = static_cast<std::uint16_t>(first_port + number);
        fields.databases_.push_back(
            {std::string{name}.append("_").append(domain), {"127.0.0.1", port}, domain});
    }
    fields.ranks_.push_back({"payout_confirmation"});
    fields.read_classes_.push_back({"fresh"});
    return fields;
}

} // namespace samples
