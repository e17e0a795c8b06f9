#pragma once

#include <http/message.hpp>
#include <utilities/sassafras_load/caller_response.hpp>
#include <utilities/sassafras_load/submission.hpp>

#include <string_view>

namespace sassafras_load {

/// Returns the `POST /v1/request` for a submission. Thread safety: any thread.
[[nodiscard]] http::request encode_submission(const submission& request);

/// Reads the body of an answer; one that is not an answer counts as `unknown`, because the request may have
/// run. Thread safety: any thread.
[[nodiscard]] caller_response decode_response(std::string_view body);

} // namespace sassafras_load
