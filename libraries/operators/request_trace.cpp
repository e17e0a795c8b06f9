#include <operators/request_trace.hpp>

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdlib>
#include <ctime>
#include <functional>
#include <iomanip>
#include <iterator>
#include <optional>
#include <sstream>
#include <string_view>
#include <utility>

namespace operators {

namespace {

namespace event {
constexpr int configuration_unreadable = 112;
constexpr int stop_started = 124;
constexpr int routes_changed = 126;
constexpr int service_changed = 127;
constexpr int transaction_given_up = 131;
constexpr int statement_done = 132;
constexpr int executions_listed = 134;
constexpr int takeover_begun = 140;
constexpr int takeover_step = 141;
constexpr int takeover_settled = 142;
constexpr int duty_changed = 143;
constexpr int evidence_changed = 144;
constexpr int store_call_failed = 145;
constexpr int session_revoked = 156;
constexpr int statement_waited = 365;
constexpr int database_condition_changed = 366;
constexpr int statement_prepared = 367;
} // namespace event

// A takeover lasts a second or two, and the loss of a primary lease follows its cause within 2.5 s.
constexpr double related_seconds = 5;
constexpr std::size_t max_related_lines = 40;
// As in `proxy::statement_recorder`.
constexpr std::size_t max_listed_field = 32;

/// Returns a time of a log line in seconds. Only differences count, so the time zone does not matter.
double seconds_of(const std::string& time) {
    std::tm date{};
    std::istringstream input{time};
    input >> std::get_time(&date, "%Y-%m-%dT%H:%M:%S");
    const auto point = time.find('.');
    const double fraction = point == std::string::npos ? 0 : std::strtod(time.c_str() + point, nullptr);
    return static_cast<double>(timegm(&date)) + fraction;
}

/// A cause: which lines belong to it, and how to describe it.
struct explanation {
    std::string conclusion_;
    /// Whether a line of the same time belongs to the cause.
    std::function<bool(const log_line&)> is_related_;
};

template <std::size_t Size>
bool is_one_of(int number, const std::array<int, Size>& events) {
    return std::find(events.begin(), events.end(), number) != events.end();
}

bool starts_with(const std::string& text, std::string_view start) {
    return std::string_view{text}.starts_with(start);
}

explanation explain_without_database(const log_line& last) {
    const bool has_lease = !starts_with(last.field("evidence_left_ms"), "-");
    if (has_lease) {
        return {"No database might serve the request, although this daemon might use primaries: the service "
                "had no "
                "primary in use. It has not run.",
                [service = last.field("service")](const log_line& line) {
                    constexpr std::array events{event::service_changed, event::takeover_begun,
                                                event::takeover_step, event::takeover_settled,
                                                event::database_condition_changed};
                    return is_one_of(line.event_, events) && line.field("service") == service;
                }};
    }
    return {"This daemon had no primary lease: it could neither read the store nor hear from the daemons "
            "that may "
            "have begun a takeover. The request has not run.",
            [source = last.source_](const log_line& line) {
                constexpr std::array events{event::duty_changed, event::evidence_changed,
                                            event::store_call_failed};
                return is_one_of(line.event_, events) && line.source_ == source;
            }};
}

/// Explains a refusal because of the API key of the request's session.
explanation explain_key(const log_line& last) {
    const bool has_moved = last.field("status") == "overloaded";
    return {std::string{has_moved ? "The session's API key moved to another tenant while the request waited"
                                  : "The session's API key belonged to no tenant any more"} +
                " in version " + last.field("configuration") + " of the configuration. It has not run.",
            [source = last.source_](const log_line& line) {
                constexpr std::array events{event::configuration_unreadable, event::routes_changed,
                                            event::store_call_failed, event::session_revoked};
                return is_one_of(line.event_, events) && line.source_ == source;
            }};
}

explanation explain_overload(const log_line& last) {
    const auto detail = last.field("detail");
    if (starts_with(detail, "the API key")) {
        return explain_key(last);
    }
    if (detail == "no database may serve it now") {
        return explain_without_database(last);
    }
    const bool was_refused_at_once = starts_with(detail, "queue expected_wait_ms");
    return {was_refused_at_once ? "The queue of the service was too long for the request's objective, so it "
                                  "was refused on arrival. "
                                  "It has not run."
                                : "The request found no connection in its time: the databases of the service "
                                  "were overloaded, behind "
                                  "or out of connections. It has not run.",
            [service = last.field("service"), source = last.source_](const log_line& line) {
                return line.event_ == event::statement_waited && line.field("service") == service &&
                       line.source_ == source;
            }};
}

explanation explain_unknown(const log_line& last) {
    const bool was_replaced = last.field("detail") == "the primary may have been replaced";
    return {was_replaced
                ? "A database answered, but the primary lease had ended or a takeover had begun by then. The "
                  "write may or may not be kept: read it back."
                : "The database's answer was lost. The write may have run, and was not sent again: read it "
                  "back.",
            [service = last.field("service")](const log_line& line) {
                constexpr std::array events{event::takeover_begun, event::takeover_settled,
                                            event::evidence_changed, event::database_condition_changed};
                const auto other = line.field("service");
                return is_one_of(line.event_, events) && (other.empty() || other == service);
            }};
}

explanation explain_abort(const log_line& last) {
    return {"The transaction was ended before its commit was sent. Nothing of it is kept.",
            [service = last.field("service"), source = last.source_](const log_line& line) {
                constexpr std::array own_events{event::stop_started, event::transaction_given_up};
                constexpr std::array service_events{event::takeover_begun, event::takeover_settled,
                                                    event::database_condition_changed};
                return (is_one_of(line.event_, own_events) && line.source_ == source) ||
                       (is_one_of(line.event_, service_events) && line.field("service") == service);
            }};
}

explanation explain(const log_line& last) {
    const auto nothing_related = [](const log_line& /*line*/) {
        return false;
    };
    if (last.event_ == event::statement_prepared) {
        return {"A statement was prepared at a database for this request. No line tells whether the request "
                "has run: read it back.",
                nothing_related};
    }
    if (last.event_ == event::executions_listed) {
        return {
            "The request executed a prepared statement at a database. Its own line was left out (E133), so "
            "its result is not known: read it back.",
            nothing_related};
    }
    if (last.event_ == event::statement_done) {
        return {"A database answered the last statement with '" + last.field("status") +
                    "'. If the client has no answer, it was lost between the daemon and the client.",
                nothing_related};
    }
    const auto status = last.field("status");
    if (status == "overloaded") {
        return explain_overload(last);
    }
    if (status == "unauthorised") {
        return explain_key(last);
    }
    if (status == "unknown") {
        return explain_unknown(last);
    }
    if (status == "aborted") {
        return explain_abort(last);
    }
    return {"The last statement ended with '" + status + "' at " + last.field("at") + ".", nothing_related};
}

void sort_by_time(std::vector<log_line>& lines) {
    std::stable_sort(lines.begin(), lines.end(), [](const log_line& first, const log_line& second) {
        return first.time_ < second.time_;
    });
}

/// The execution of a prepared statement, as a line of its own or an entry of a list tells it.
struct execution {
    std::string connection_;
    std::string name_;
};

/// Returns the entry of a request in a list of executions, which has the form `ID CONNECTION NAME;` for each.
std::optional<execution> find_listed(const log_line& line, const std::string& id) {
    std::istringstream entries{line.field("executions")};
    std::string entry;
    while (std::getline(entries, entry, ';')) {
        std::istringstream words{entry};
        std::string listed_id;
        execution found;
        words >> listed_id >> found.connection_ >> std::ws;
        if (listed_id == id) {
            std::getline(words, found.name_);
            return found;
        }
    }
    return std::nullopt;
}

bool is_of_request(const log_line& line, const std::string& id) {
    return line.field("id") == id || (line.event_ == event::executions_listed && find_listed(line, id));
}

std::optional<execution> execution_of(const log_line& line, const std::string& id) {
    if (line.event_ == event::executions_listed) {
        return find_listed(line, id);
    }
    const auto name = line.field("sent_as");
    return name.empty() || name == "-" ? std::nullopt
                                       : std::optional{execution{line.field("connection"), name}};
}

/// Returns whether the name in a preparation's line is that of an execution, which lists give cut.
bool is_same_name(const std::string& name, const std::string& executed) {
    return name == executed || (executed.size() == max_listed_field && starts_with(name, executed));
}

/// Returns the last line before `last` that tells what was prepared under the name that the request executed
/// on its connection, or the end of `lines`.
std::vector<log_line>::const_iterator find_preparation(const std::string& id, const log_line& last,
                                                       const std::vector<log_line>& lines) {
    auto found = lines.end();
    const auto executed = execution_of(last, id);
    if (!executed) {
        return found;
    }
    for (auto line = lines.begin(); line != lines.end(); ++line) {
        const bool is_same = line->event_ == event::statement_prepared && line->source_ == last.source_ &&
                             line->field("connection") == executed->connection_ &&
                             is_same_name(line->field("name"), executed->name_);
        if (is_same && line->time_ <= last.time_ && (found == lines.end() || line->time_ >= found->time_)) {
            found = line;
        }
    }
    return found;
}

std::string describe_preparation(const log_line& line) {
    return " It executed '" + line.field("name") + "' on connection " + line.field("connection") +
           ", prepared there at " + line.time_ + " with the shape '" + line.field("shape") +
           (line.field("cut") == "yes" ? "…'." : "'.");
}

} // namespace

request_trace trace_request(const std::string& id, const std::vector<log_line>& lines) {
    request_trace trace;
    std::copy_if(lines.begin(), lines.end(), std::back_inserter(trace.own_lines_),
                 [&id](const log_line& line) { return is_of_request(line, id); });
    sort_by_time(trace.own_lines_);
    if (trace.own_lines_.empty()) {
        trace.conclusion_ =
            "No line has this id. The daemon that received the request was killed before it wrote one "
            "(a start, E120, without a stop, E124), or left the line out (E133). The outcome is "
            "unknown: read back before repeating.";
        return trace;
    }
    const auto& last = trace.own_lines_.back();
    auto found = explain(last);
    trace.conclusion_ = std::move(found.conclusion_);
    const auto ended_at = seconds_of(last.time_);
    std::copy_if(lines.begin(), lines.end(), std::back_inserter(trace.related_lines_),
                 [&found, ended_at](const log_line& line) {
                     return found.is_related_(line) &&
                            std::abs(seconds_of(line.time_) - ended_at) <= related_seconds;
                 });
    const auto preparation = find_preparation(id, last, lines);
    if (preparation != lines.end()) {
        trace.conclusion_ += describe_preparation(*preparation);
        if (preparation->field("id") != id) {
            trace.related_lines_.push_back(*preparation);
        }
    }
    sort_by_time(trace.related_lines_);
    if (trace.related_lines_.size() > max_related_lines) {
        trace.related_lines_.resize(max_related_lines);
    }
    return trace;
}

} // namespace operators
