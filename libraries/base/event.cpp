#include <base/event.hpp>

#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <algorithm>

namespace base {

namespace {

spdlog::level::level_enum level_of(severity value) {
    switch (value) {
    case severity::debug:
        return spdlog::level::debug;
    case severity::info:
        return spdlog::level::info;
    case severity::warning:
        return spdlog::level::warn;
    case severity::error:
        return spdlog::level::err;
    }
    return spdlog::level::err;
}

// spdlog allocates the whole queue at start-up, a few hundred bytes for each line.
constexpr std::size_t queued_lines = 2048;

bool is_control_character(char character) noexcept {
    constexpr unsigned char delete_character = 0x7F;
    const auto byte = static_cast<unsigned char>(character);
    return byte < ' ' || byte == delete_character;
}

bool needs_quotes(std::string_view value) {
    return value.empty() || value.find_first_of(" \"=") != std::string_view::npos ||
           std::any_of(value.begin(), value.end(), is_control_character);
}

std::string shorten(std::string_view value) {
    std::string shortened{value.substr(0, max_logged_value_bytes)};
    return value.size() > max_logged_value_bytes ? shortened.append("...") : shortened;
}

void append_value(std::string& line, std::string_view value) {
    if (!needs_quotes(value)) {
        line.append(value);
        return;
    }
    line.push_back('"');
    for (const char character : value) {
        if (character == '"' || character == '\\') {
            line.push_back('\\');
        }
        // A line break inside a value would allow a caller to forge a log line, and an escape sequence would
        // change what a terminal shows of it.
        line.push_back(is_control_character(character) ? ' ' : character);
    }
    line.push_back('"');
}

} // namespace

void log_event(const event_definition& definition, std::initializer_list<event_field> fields) {
    const auto level = level_of(definition.severity_);
    if (!spdlog::should_log(level)) {
        return;
    }
    std::string line{"E"};
    line.append(std::to_string(definition.number_)).append(" ").append(definition.name_);
    for (const auto& field : fields) {
        line.append(" ").append(field.name_).append("=");
        append_value(line, shorten(field.value_));
    }
    spdlog::log(level, "{}", line);
}

void start_logging(std::string_view level) {
    // Non-blocking: when the log is read too slowly, the oldest lines are dropped instead of blocking the
    // request path.
    spdlog::init_thread_pool(queued_lines, 1);
    auto logger = spdlog::create_async_nb<spdlog::sinks::stdout_sink_mt>("sassafrasdeal");
    logger->set_pattern("%Y-%m-%dT%H:%M:%S.%e %l %v");
    spdlog::set_default_logger(logger);
    set_log_level(level);
    spdlog::flush_every(std::chrono::seconds{1});
}

void set_log_level(std::string_view level) {
    spdlog::set_level(spdlog::level::from_str(std::string{level}));
}

void flush_log() {
    spdlog::default_logger()->flush();
}

} // namespace base
