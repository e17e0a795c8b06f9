#include <proxy/statement_recorder.hpp>

#include <base/event.hpp>
#include <proxy/events.hpp>

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

void statement_recorder::report_dropped(std::uint64_t prepared) {
    const auto done = done_limiter_.take_dropped_count();
    const auto not_done = not_done_limiter_.take_dropped_count();
    if (done + not_done + prepared > 0) {
        base::log_event(events::lines_dropped, {{"done", std::to_string(done)},
                                                {"not_done", std::to_string(not_done)},
                                                {"prepared", std::to_string(prepared)}});
    }
}

} // namespace proxy
