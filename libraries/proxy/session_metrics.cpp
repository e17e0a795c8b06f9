#include <proxy/session_metrics.hpp>

#include <base/metric_family.hpp>
#include <base/prometheus_text.hpp>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string_view>
#include <utility>
#include <vector>

namespace proxy {

namespace {

constexpr std::size_t max_listed_tenants = 20;

void append_metric(std::string& text, std::string_view name, std::string_view type, std::int64_t value) {
    text.append("# TYPE ").append(name).append(" ").append(type).append("\n");
    text.append(name).append(" ").append(std::to_string(value)).append("\n");
}

std::int64_t value_of(const std::atomic<std::uint64_t>& counter) {
    return static_cast<std::int64_t>(counter.load(std::memory_order_relaxed));
}

/// Appends one family of metrics with one label whose values are the names of `keys`.
template <typename Keys, typename Value>
void append_labelled(std::string& text, std::string_view name, std::string_view type, std::string_view label,
                     const Keys& keys, const Value& value) {
    text.append("# TYPE ").append(name).append(" ").append(type).append("\n");
    for (const auto key : keys) {
        text.append(name).append("{").append(label).append("=\"").append(name_of(key)).append("\"} ");
        text.append(std::to_string(value(key))).append("\n");
    }
}

void append_client_metrics(std::string& text, const session_shared_state& shared) {
    append_metric(text, "sassafrasdeal_sessions_limit", "gauge", value_of(shared.max_sessions_));
    append_labelled(text, "sassafrasdeal_clients_closed_total", "counter", "reason", callers::closing_reasons,
                    [&shared](callers::closing_reason reason) {
                        return value_of(
                            shared.counters_.clients_closed_.at(static_cast<std::size_t>(reason)));
                    });
    append_labelled(text, "sassafrasdeal_client_memory_bytes", "gauge", "part", base::memory_parts,
                    [&shared](base::memory_part part) { return shared.memory_.held(part); });
    append_labelled(text, "sassafrasdeal_client_memory_limit_bytes", "gauge", "part", base::memory_parts,
                    [&shared](base::memory_part part) { return shared.memory_.share(part); });
    append_labelled(text, "sassafrasdeal_client_memory_shortages_total", "counter", "part",
                    base::memory_parts,
                    [&shared](base::memory_part part) { return shared.memory_.shortages(part); });
}

/// Returns the refusals for limits of tenants: the tenants with most of them, and the sum of the others.
base::metric_family tenant_refusals(const quota_table& table) {
    std::vector<std::pair<std::uint64_t, std::string_view>> refusals;
    for (const auto& [name, tenant] : table.entries()) {
        if (const auto refused = tenant->refused_.load(std::memory_order_relaxed); refused > 0) {
            refusals.emplace_back(refused, name);
        }
    }
    std::sort(refusals.begin(), refusals.end(), std::greater<>{});
    base::metric_family_fields family;
    family.name_ = "sassafrasdeal_tenant_refused_total";
    family.help_ = "Operations refused for the limit of a tenant; the rest has an empty name.";
    family.kind_ = base::metric_kind::counter;
    double rest = 0;
    for (std::size_t index = 0; index < refusals.size(); ++index) {
        const auto refused = static_cast<double>(refusals[index].first);
        if (index < max_listed_tenants) {
            family.samples_.push_back({{{"tenant", std::string{refusals[index].second}}}, refused});
        } else {
            rest += refused;
        }
    }
    if (!table.entries().empty()) {
        family.samples_.push_back({{{"tenant", ""}}, rest});
    }
    return base::metric_family{std::move(family)};
}

} // namespace

std::string session_metrics_text(const session_shared_state& shared,
                                 const std::map<base::metric_key, base::latency_buckets>& latencies,
                                 base::clock::time_point now) {
    const auto& counters = shared.counters_;
    std::string text;
    append_metric(text, "sassafrasdeal_sessions_opened_total", "counter",
                  value_of(counters.sessions_opened_));
    append_metric(text, "sassafrasdeal_sessions_open", "gauge", value_of(counters.sessions_open_));
    append_metric(text, "sassafrasdeal_sessions_unauthorised_total", "counter",
                  value_of(counters.sessions_unauthorised_));
    append_metric(text, "sassafrasdeal_sessions_revoked_total", "counter",
                  value_of(counters.sessions_revoked_));
    append_metric(text, "sassafrasdeal_statements_done_total", "counter",
                  value_of(counters.statements_done_));
    append_metric(text, "sassafrasdeal_statements_refused_total", "counter",
                  value_of(counters.statements_refused_));
    append_metric(text, "sassafrasdeal_statements_failed_total", "counter",
                  value_of(counters.statements_failed_));
    append_metric(text, "sassafrasdeal_statements_unknown_total", "counter",
                  value_of(counters.statements_unknown_));
    append_metric(text, "sassafrasdeal_statements_malformed_total", "counter",
                  value_of(counters.statements_malformed_));
    append_metric(text, "sassafrasdeal_statements_prepared_total", "counter",
                  value_of(counters.statements_prepared_));
    append_metric(text, "sassafrasdeal_tenant_connections_opened_total", "counter",
                  value_of(counters.tenant_connections_.opened_));
    append_metric(text, "sassafrasdeal_tenant_connections_replaced_total", "counter",
                  value_of(counters.tenant_connections_.replaced_));
    append_metric(text, "sassafrasdeal_tenant_connections_released_total", "counter",
                  value_of(counters.tenant_connections_.released_));
    // Counts the transactions that the daemon rolled back.
    append_metric(text, "sassafrasdeal_transactions_given_up_total", "counter",
                  value_of(counters.transactions_aborted_));
    append_metric(text, "sassafrasdeal_store_entries_ignored_total", "counter",
                  value_of(counters.store_entries_ignored_));
    append_metric(text, "sassafrasdeal_store_era", "gauge", value_of(counters.store_era_));
    append_metric(text, "sassafrasdeal_store_returns_total", "counter", value_of(counters.store_returns_));
    append_metric(text, "sassafrasdeal_store_history_confirmed", "gauge",
                  value_of(counters.store_history_confirmed_));
    append_metric(text, "sassafrasdeal_takeover_reports_missing", "gauge",
                  value_of(counters.takeover_reports_missing_));
    append_client_metrics(text, shared);
    append_metric(text, "sassafrasdeal_tasks_failed_total", "counter", value_of(counters.tasks_failed_));
    // Remaining duration of the primary lease.
    append_metric(text, "sassafrasdeal_evidence_left_ms", "gauge",
                  (shared.published_lease_.expiry() - now).count());
    const auto version = shared.routes_.read([](const auto& routes) { return routes->version_; });
    append_metric(text, "sassafrasdeal_configuration_version", "gauge", static_cast<std::int64_t>(version));
    // 0 unless a peer uses a newer one.
    append_metric(text, "sassafrasdeal_configuration_behind_ms", "gauge",
                  shared.configuration_lag_.duration_at(now).count());
    append_metric(text, "sassafrasdeal_configurations_rejected_total", "counter",
                  value_of(counters.configurations_rejected_));
    std::vector<base::metric_family> families{base::request_metrics(latencies)};
    const auto quotas = shared.quotas_.get();
    if (!quotas->entries().empty()) {
        families.push_back(tenant_refusals(*quotas));
    }
    return text.append(base::encode_prometheus_text(families));
}

} // namespace proxy
