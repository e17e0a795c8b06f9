#include <proxy/statement_recorder.hpp>

#include <base/event.hpp>
#include <proxy/events.hpp>

namespace proxy {

namespace {

base::outcome outcome_of(backends::statement_status status) {
    if (status == backends::statement_status::done) {
        return base::outcome::done;
    }
    const bool promises_nothing = status == backends::statement_status::unknown ||
                                  status == backends::statement_status::timed_out ||
                                  status == backends::statement_status::failed;
    return promises_nothing ? base::outcome::unknown : base::outcome::not_run;
}

} // namespace

void statement_recorder::record(const std::string& service, const std::string& priority,
                                backends::statement_status status, base::clock::duration took) {
    // Routes are named anew for each session's database; the class of work is the priority.
    metrics_.record(service, priority, priority, outcome_of(status), took);
}

bool statement_recorder::may_log(backends::statement_status status) {
    return (status == backends::statement_status::done ? done_ : not_done_).allows(base::clock::now());
}

void statement_recorder::report_dropped() {
    const auto done = done_.take_dropped_count();
    const auto not_done = not_done_.take_dropped_count();
    if (done + not_done > 0) {
        base::log_event(events::lines_dropped,
                        {{"done", std::to_string(done)}, {"not_done", std::to_string(not_done)}});
    }
}

} // namespace proxy
