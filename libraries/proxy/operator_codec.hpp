#pragma once

#include <base/latency_buckets.hpp>
#include <base/metric_key.hpp>
#include <base/request.hpp>
#include <base/result.hpp>
#include <daemons/member_list.hpp>
#include <http/message.hpp>
#include <proxy/routing.hpp>

#include <map>
#include <string>

namespace proxy {

/// Encodes the latencies as the JSON object that `/stats` returns: one entry for each service, tenant, rank
/// and outcome with its count, quantiles and histogram buckets. Thread safety: any thread.
[[nodiscard]] std::string encode_stats(const std::map<base::metric_key, base::latency_buckets>& totals);

/// Decodes the request that an operator wants explained: `service`, `tenant`, `rank`, and optional `access`,
/// `read_class` and `deadline_ms`. Errors: `invalid_request`.
[[nodiscard]] base::result<base::request> decode_explained_request(const std::string& body);

/// Encodes how the daemon would serve a request: owner of the group (reported as `owner`), standby, rank,
/// deadline and staleness.
[[nodiscard]] std::string encode_explanation(const routed_request& routed,
                                             const daemons::member_list& members);

/// Encodes an error of the operator port.
[[nodiscard]] http::response encode_operator_error(const base::error& reason);

} // namespace proxy
