#pragma once

#include <base/error_kind.hpp>
#include <base/immutable.hpp>
#include <base/response.hpp>

#include <compare>
#include <optional>
#include <string>
#include <vector>

namespace sassafras_load {

/// An answer as a caller reads it. The token stays opaque.
struct caller_response_fields {
    base::outcome outcome_ = base::outcome::unknown;
    std::optional<base::error_kind> error_;
    std::vector<std::string> results_;
    base::database_role served_by_ = base::database_role::none;
    std::string token_;

    friend auto operator<=>(const caller_response_fields&, const caller_response_fields&) = default;
    friend bool operator==(const caller_response_fields&, const caller_response_fields&) = default;
};

using caller_response = base::immutable<caller_response_fields>;

} // namespace sassafras_load
