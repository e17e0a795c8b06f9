#pragma once

#include <base/clock.hpp>
#include <base/result.hpp>
#include <stand_ins/database/faults.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace stand_ins::database {

/// The body of a request to a control path; each path uses some of the fields.
struct control_request {
    std::optional<base::clock::duration> milliseconds_;
    cut_direction direction_ = cut_direction::both;
    /// A peer's name or address; empty means everyone.
    std::string peer_;
};

/// Reads the body of a control request; an empty body is an empty object. Errors: `invalid_request`.
[[nodiscard]] base::result<control_request> decode_control_request(std::string_view body);

} // namespace stand_ins::database
