#include <proxy/statement_recorder.hpp>

#include <base/event.hpp>
#include <proxy/events.hpp>

#include <utility>

namespace proxy {

namespace {

base::outcome outcome_of(backends::statement_status status) {
    if (status == backends::statement_status::done) {
        return base::outcome::done;
    }
    const bool is_unknown = status == backends::statement_status::unknown ||
                            status == backends::statement_status::timed_out ||
                            status == backends::statement_status::failed;
    return is_unknown ? base::outcome::unknown : base::outcome::not_run;
}

} // namespace

void statement_recorder::record(const std::string& service, const std::string& priority,
                                backends::statement_status status, base::clock::duration elapsed) {
    // The route depends on the database of the session, so the priority serves as the request class.
    metrics_.record(service, priority, priority, outcome_of(status), elapsed);
}

bool statement_recorder::may_log(backends::statement_status status) {
    return (status == backends::statement_status::done ? done_limiter_ : not_done_limiter_)
        .allows(base::clock::now());
}

void statement_recorder::note_unlogged_execution(const std::string& id,
                                                 const backends::statement_trace& trace) {
    if (unlogged_executions_.size() >= max_listed_bytes) {
        ++unlisted_;
        return;
    }
    unlogged_executions_.append(id, 0, max_listed_field)
        .append(" ")
        .append(std::to_string(trace.connection_))
        .append(" ")
        .append(trace.prepared_name_, 0, max_listed_field)
        .append(";");
}

void statement_recorder::report_dropped(std::uint64_t prepared) {
    if (!unlogged_executions_.empty()) {
        base::log_event(events::executions_listed, {{"executions", unlogged_executions_}});
        unlogged_executions_.clear();
    }
    const auto unlisted = std::exchange(unlisted_, 0);
    const auto done = done_limiter_.take_dropped_count();
    const auto not_done = not_done_limiter_.take_dropped_count();
    if (done + not_done + prepared > 0) {
        base::log_event(events::lines_dropped, {{"done", std::to_string(done)},
                                                {"not_done", std::to_string(not_done)},
                                                {"prepared", std::to_string(prepared)},
                                                {"unlisted", std::to_string(unlisted)}});
    }
}

} // namespace proxy
