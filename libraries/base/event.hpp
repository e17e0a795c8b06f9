#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace base {

/// How much attention a logged event needs.
enum class severity : std::uint8_t { debug, info, warning, error };

/// A kind of event in the log. `docs/events.md` lists every definition.
struct event_definition {
    /// Unique number; the hundreds say which package logs it.
    int number_;
    std::string_view name_;
    severity severity_;
    /// What happened, in one sentence, as it stands in the catalogue.
    std::string_view summary_;
};

/// One named value of a logged event.
struct event_field {
    std::string_view name_;
    std::string value_;
};

/// Writes one line: `E301 takeover_started group=ledger term=5`. Values with spaces are quoted.
/// Thread safety: any thread.
void log_event(const event_definition& definition, std::initializer_list<event_field> fields);

/// Sets up the logger of the process: to standard output, asynchronous, one line an event.
/// Precondition: called once, before the first thread starts. `level` is a name that spdlog knows.
void start_logging(std::string_view level);

/// Changes the least severity that is logged. Thread safety: any thread.
void set_log_level(std::string_view level);

/// Writes out what is buffered. Thread safety: any thread.
void flush_log();

} // namespace base
