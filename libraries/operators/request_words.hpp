#pragma once

#include <base/result.hpp>

#include <string>
#include <vector>

namespace operators {

/// Turns the words of `explain` into the JSON body of the daemon's `POST /explain`, which describes a request
/// as `POST /v1/request` does. A single word that starts with `{` is taken as the body itself; other words
/// are `field=value`, where `statement=` may stand several times. Errors: `invalid_request`.
[[nodiscard]] base::result<std::string> encode_explain_arguments(const std::vector<std::string>& words);

} // namespace operators
