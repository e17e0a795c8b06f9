#pragma once

#include <base/result.hpp>

#include <string>
#include <vector>

namespace operators {

/// Converts the arguments of the command `explain` into the JSON body of `POST /explain`, which describes a
/// request in the format of `POST /v1/request`. A single argument that starts with `{` is used as the body
/// itself; otherwise each argument is `field=value`, and `statement=` may be repeated.
/// Errors: `invalid_request`.
[[nodiscard]] base::result<std::string> encode_explain_arguments(const std::vector<std::string>& arguments);

} // namespace operators
