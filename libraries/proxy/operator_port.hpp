#pragma once

#include <base/clock.hpp>
#include <base/latency_buckets.hpp>
#include <base/metric_family.hpp>
#include <base/metric_key.hpp>
#include <base/prometheus_text.hpp>
#include <base/request.hpp>
#include <base/result.hpp>
#include <daemons/member_list.hpp>
#include <http/message.hpp>
#include <proxy/daemon_report.hpp>
#include <proxy/daemon_report_codec.hpp>
#include <proxy/daemon_state.hpp>
#include <proxy/operator_codec.hpp>
#include <proxy/routing.hpp>

#include <boost/asio/awaitable.hpp>

#include <concepts>
#include <map>
#include <memory>
#include <utility>

namespace proxy {

/// What a daemon answers to its operators.
template <typename Adapter>
concept operator_service = requires(Adapter& adapter, const base::request& request) {
    { adapter.report() } -> std::same_as<boost::asio::awaitable<daemon_report>>;
    {
        adapter.latencies()
        } -> std::same_as<boost::asio::awaitable<std::map<base::metric_key, base::latency_buckets>>>;
    { adapter.phase() } -> std::same_as<daemon_phase>;
    { adapter.explain(request) } -> std::same_as<base::result<routed_request>>;
    { adapter.members() } -> std::same_as<std::shared_ptr<const daemons::member_list>>;
    { adapter.drain() } -> std::same_as<void>;
};

/// The HTTP port for operators and monitoring. Satisfies `http::request_handler`.
/// Thread safety: used by one thread only.
template <operator_service Adapter>
class operator_port {
public:
    explicit operator_port(Adapter adapter) : adapter_{std::move(adapter)} {}

    /// Answers one HTTP request.
    boost::asio::awaitable<http::response> operator()(http::request message, std::size_t /*connection*/) {
        const auto& target = message->target_;
        if (message->method_ == "POST") {
            co_return serve_post(message);
        }
        if (target == "/status") {
            const auto described = co_await adapter_.report();
            co_return http::json_response(200, encode_report(described));
        }
        if (target == "/stats" || target == "/metrics") {
            const auto totals = co_await adapter_.latencies();
            co_return target == "/stats" ? http::json_response(200, encode_stats(totals))
                                         : metrics_response(totals);
        }
        if (target == "/healthz") {
            co_return http::json_response(200, R"({"healthy":true})");
        }
        if (target == "/readyz") {
            const bool ready = adapter_.phase() == daemon_phase::serving;
            co_return http::json_response(ready ? 200 : 503,
                                          ready ? R"({"ready":true})" : R"({"ready":false})");
        }
        co_return encode_operator_error(unknown_path(message));
    }

private:
    static base::error unknown_path(const http::request& message) {
        return base::error{base::error_kind::not_found,
                           "there is no " + message->method_ + " " + message->target_ + " for operators"};
    }

    http::response serve_post(const http::request& message) {
        if (message->target_ == "/drain") {
            adapter_.drain();
            return http::json_response(202, R"({"draining":true})");
        }
        if (message->target_ == "/explain") {
            return explain(message);
        }
        return encode_operator_error(unknown_path(message));
    }

    http::response explain(const http::request& message) {
        const auto request = decode_explained_request(message->body_);
        if (!request) {
            return encode_operator_error(request.last_reason());
        }
        const auto routed = adapter_.explain(*request);
        if (!routed) {
            return encode_operator_error(routed.last_reason());
        }
        return http::json_response(200, encode_explanation(*routed, *adapter_.members()));
    }

    static http::response metrics_response(const std::map<base::metric_key, base::latency_buckets>& totals) {
        const std::array families{base::request_metrics(totals)};
        return http::response_fields{
            .status_ = 200,
            .headers_ = {{"Content-Type", std::string{base::prometheus_content_type}}},
            .body_ = base::encode_prometheus_text(families)};
    }

    Adapter adapter_;
};

} // namespace proxy
