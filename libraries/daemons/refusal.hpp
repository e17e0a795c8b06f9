#pragma once

#include <base/error.hpp>
#include <base/immutable.hpp>

#include <compare>
#include <string>

namespace daemons {

/// A peer's refusal of a request that it did not run.
struct refusal_fields {
    base::error_kind kind_ = base::error_kind::internal;
    std::string message_;

    friend auto operator<=>(const refusal_fields&, const refusal_fields&) = default;
    friend bool operator==(const refusal_fields&, const refusal_fields&) = default;
};

using refusal = base::immutable<refusal_fields>;

} // namespace daemons
