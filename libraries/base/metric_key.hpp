#pragma once

#include <base/immutable.hpp>
#include <base/response.hpp>

#include <compare>
#include <string>

namespace base {

/// What requests are counted by.
struct metric_key_fields {
    std::string service_;
    std::string tenant_;
    std::string rank_;
    outcome outcome_ = outcome::unknown;

    friend auto operator<=>(const metric_key_fields&, const metric_key_fields&) = default;
    friend bool operator==(const metric_key_fields&, const metric_key_fields&) = default;
};

using metric_key = immutable<metric_key_fields>;

} // namespace base
