#include <proxy/statement_outcome.hpp>

#include <base/event.hpp>
#include <proxy/events.hpp>

#include <atomic>
#include <optional>

namespace proxy {

namespace {

using backends::statement_status;

std::string text_of(const std::optional<base::log_position>& position) {
    return position ? std::to_string(position->term()) + "." + std::to_string(position->index())
                    : std::string{"-"};
}

} // namespace

void count_outcome(session_counters& counters, statement_status status) noexcept {
    switch (status) {
    case statement_status::done:
        counters.statements_done_.fetch_add(1, std::memory_order_relaxed);
        return;
    case statement_status::unknown:
    case statement_status::timed_out:
        counters.statements_unknown_.fetch_add(1, std::memory_order_relaxed);
        return;
    case statement_status::overloaded:
        counters.statements_refused_.fetch_add(1, std::memory_order_relaxed);
        return;
    case statement_status::malformed:
        counters.statements_malformed_.fetch_add(1, std::memory_order_relaxed);
        [[fallthrough]];
    default:
        counters.statements_failed_.fetch_add(1, std::memory_order_relaxed);
    }
}

void log_outcome(const statement_summary& summary, const backends::statement_response& response) {
    const bool is_done = response.status_ == statement_status::done;
    const auto& trace = response.trace_;
    base::log_event(
        is_done ? events::statement_done : events::statement_not_done,
        {{"id", summary.id_},
         {"database", summary.database_},
         {"service", summary.service_},
         {"tenant", summary.tenant_},
         {"status", std::string{backends::name_of(response.status_)}},
         {"at", trace.database_.empty() ? "-" : trace.database_},
         {"connection", trace.connection_ == 0 ? "-" : std::to_string(trace.connection_)},
         {"prepared", summary.prepared_.substr(0, max_logged_name)},
         {"sent_as", trace.prepared_name_.empty() ? "-" : trace.prepared_name_.substr(0, max_logged_name)},
         {"needed", text_of(trace.required_position_)},
         {"attempts", std::to_string(trace.attempts_)},
         {"waited_ms", std::to_string(trace.waited_.count())},
         {"took_ms", std::to_string(summary.elapsed_.count())},
         {"configuration", std::to_string(summary.configuration_)},
         {"behind_ms", std::to_string(summary.behind_.count())},
         {"evidence_left_ms", std::to_string(summary.lease_left_.count())},
         {"detail", is_done ? std::string{"-"} : response.detail_}});
}

} // namespace proxy
