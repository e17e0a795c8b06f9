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

/// The encoding side of the peer server, apart from its templates so that cereal stays out of headers.
namespace daemons {

[[nodiscard]] base::result<base::request> read_request(const frame& request);
[[nodiscard]] base::result<suspicion_check> read_suspicion_check(const frame& request);
[[nodiscard]] base::result<configuration_fetch> read_configuration_fetch(const frame& request);

/// Returns the frame with an answer. An answer that does not fit keeps its outcome and says that its results
/// were left out.
[[nodiscard]] frame reply_with(std::uint64_t id, const base::response& response);
[[nodiscard]] frame reply_with(std::uint64_t id, reachability verdict);
[[nodiscard]] frame reply_with(std::uint64_t id, const configuration_offer& offer);
/// Returns the frame that refuses a question of this type without acting on it.
[[nodiscard]] frame refuse(const frame& request, const base::error& reason);
[[nodiscard]] frame announce(const throttle_notice& notice);

/// Returns the frame for a question whose handler threw: the outcome of a request is unknown.
[[nodiscard]] frame reply_after_exception(const frame& request, const char* reason);

/// Logs a frame that cannot be read.
void report_invalid_frame(const base::error& reason);

} // namespace daemons
