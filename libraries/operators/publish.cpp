#include <operators/publish.hpp>

#include <operators/events.hpp>

namespace operators {

namespace {

const base::event_definition& event_of(publishing_result result) noexcept {
    switch (result) {
    case publishing_result::published:
        return events::configuration_published;
    case publishing_result::already_in_force:
        return events::configuration_unchanged;
    case publishing_result::lost_race:
    case publishing_result::overtaken:
        return events::publish_conflict;
    case publishing_result::failed:
        return events::publish_failed;
    }
    return events::publish_failed;
}

} // namespace

void log_report(const publishing_report& report) {
    base::log_event(event_of(report.result_), {{"revision", std::to_string(report.revision_)},
                                               {"publisher", report.publisher_},
                                               {"result", to_string(report)}});
}

void log_lost_response(const base::error& reason) {
    base::log_event(events::publish_answer_lost, {{"error", reason.to_string()}});
}

} // namespace operators
