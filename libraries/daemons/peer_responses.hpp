#pragma once

#include <base/error.hpp>
#include <base/request.hpp>
#include <base/response.hpp>
#include <base/result.hpp>
#include <daemons/configuration_offer.hpp>
#include <daemons/frame.hpp>
#include <daemons/suspicion_check.hpp>
#include <daemons/throttle_notice.hpp>

#include <cstdint>

/// Decodes the requests and encodes the responses of `peer_server`; separate from its templates, so that
/// cereal stays out of headers.
namespace daemons {

[[nodiscard]] base::result<base::request> read_request(const frame& request);
[[nodiscard]] base::result<suspicion_check> read_suspicion_check(const frame& request);
[[nodiscard]] base::result<configuration_fetch> read_configuration_fetch(const frame& request);

/// Returns the frame for a response. A response that exceeds the maximum frame size keeps its outcome, and an
/// error replaces its results.
[[nodiscard]] frame response_frame(std::uint64_t id, const base::response& response);
[[nodiscard]] frame response_frame(std::uint64_t id, reachability verdict);
[[nodiscard]] frame response_frame(std::uint64_t id, const configuration_offer& offer);
/// Returns the frame that refuses a request of this type, which was not run.
[[nodiscard]] frame refusal_frame(const frame& request, const base::error& reason);
[[nodiscard]] frame throttle_frame(const throttle_notice& notice);

/// Returns the frame for a request whose handler threw an exception: the outcome of a forwarded request is
/// unknown.
[[nodiscard]] frame response_after_exception(const frame& request, const char* reason);

/// Logs an invalid frame.
void report_invalid_frame(const base::error& reason);

} // namespace daemons
