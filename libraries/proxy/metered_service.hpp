#pragma once

#include <base/clock.hpp>
#include <base/metric_registry.hpp>
#include <base/request.hpp>
#include <base/response.hpp>

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <string>
#include <utility>

namespace proxy {

/// Measures how long a service takes for each request, by service, tenant, rank and outcome.
/// Thread safety: used by the thread that owns the registry. Lifetime: the references outlive it.
template <typename Service, base::time_source Clock>
class metered_service {
public:
    metered_service(Service& service, base::metric_registry& registry, const Clock& clock)
        : service_{service}, registry_{registry}, clock_{clock} {}

    /// Serves a request and records its latency.
    [[nodiscard]] boost::asio::awaitable<base::response> response(base::request request) {
        const auto started = clock_.now();
        const auto service = request->service_;
        const auto tenant = request->tenant_;
        const auto rank = request->rank_;
        auto pending = service_.response(std::move(request));
        auto result = co_await std::move(pending);
        if (is_declared(result)) {
            registry_.record(service, tenant, rank, result->outcome_,
                             std::chrono::duration_cast<std::chrono::microseconds>(clock_.now() - started));
        }
        co_return result;
    }

private:
    // Names that no declaration has are not recorded: callers choose them, and each would cost memory.
    [[nodiscard]] static bool is_declared(const base::response& result) {
        return !result->error_ || (result->error_->kind() != base::error_kind::unknown_service &&
                                   result->error_->kind() != base::error_kind::unknown_rank);
    }

    Service& service_;
    base::metric_registry& registry_;
    const Clock& clock_;
};

} // namespace proxy
