#pragma once

#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace base {

/// The severity of a logged event.
enum class severity : std::uint8_t { debug, info, warning, error };

/// Describes one kind of log event. `docs/events.md` lists every definition.
struct event_definition {
    /// Unique number; the hundreds digit identifies the package that logs the event.
    int number_;
    std::string_view name_;
    severity severity_;
    /// What happened, in one sentence, as listed in `docs/events.md`.
    std::string_view summary_;
};

/// A named value that is logged with an event.
struct event_field {
    std::string_view name_;
    std::string value_;
};

/// The length above which a logged value is cut. Peers choose the text of many values: a statement's
/// identifier may have almost 1 MiB, and the queue of the log holds thousands of lines. The longest value of
/// the daemon itself, a list of executions, fits.
inline constexpr std::size_t max_logged_value_bytes = 5120;

/// Logs an event as one line, for example `E301 takeover_started group=ledger term=5`. Values with spaces are
/// quoted, long ones are cut. Thread safety: any thread.
void log_event(const event_definition& definition, std::initializer_list<event_field> fields);

/// Sets up the process-wide logger, which writes asynchronously to standard output, one line for each event.
/// Precondition: called once, before any thread is started. `level` is the name of an spdlog level.
void start_logging(std::string_view level);

/// Sets the minimum severity that is logged. Thread safety: any thread.
void set_log_level(std::string_view level);

/// Flushes buffered log lines. Thread safety: any thread.
void flush_log();

} // namespace base
