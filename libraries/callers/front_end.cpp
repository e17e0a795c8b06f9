#include <callers/front_end.hpp>

#include <base/event.hpp>
#include <callers/events.hpp>

namespace callers {

void log_refusal(const base::error& reason) {
    const bool concerns_token =
        reason.kind() == base::error_kind::token_invalid || reason.kind() == base::error_kind::token_foreign;
    base::log_event(concerns_token ? events::token_refused : events::request_refused,
                    {{"reason", reason.to_string()}});
}

void log_unknown_outcome(const std::string& service, const base::response& response) {
    base::log_event(events::outcome_unknown,
                    {{"service", service}, {"reason", response->error_ ? response->error_->message() : ""}});
}

} // namespace callers
