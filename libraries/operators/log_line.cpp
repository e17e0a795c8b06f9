#include <operators/log_line.hpp>

#include <charconv>
#include <cstddef>
#include <utility>

namespace operators {

namespace {

constexpr std::size_t date_time_length = std::string_view{"2026-01-01T00:00:00.000"}.size();

/// Returns the position of a date and time, or npos.
std::size_t find_date_time(std::string_view text) {
    constexpr std::size_t separator_offset = std::string_view{"2026-01-01"}.size();
    for (auto position = text.find('T'); position != std::string_view::npos;
         position = text.find('T', position + 1)) {
        if (position < separator_offset || position - separator_offset + date_time_length > text.size()) {
            continue;
        }
        const auto start = position - separator_offset;
        const auto candidate = text.substr(start, date_time_length);
        const bool has_form = candidate[4] == '-' && candidate[7] == '-' && candidate[13] == ':' &&
                              candidate[16] == ':' && candidate[19] == '.';
        if (has_form) {
            return start;
        }
    }
    return std::string_view::npos;
}

/// Removes the first word of `rest` and returns it.
std::string_view take_word(std::string_view& rest) {
    const auto start = rest.find_first_not_of(' ');
    rest.remove_prefix(start == std::string_view::npos ? rest.size() : start);
    const auto end = rest.find(' ');
    const auto word = rest.substr(0, end);
    rest.remove_prefix(word.size());
    return word;
}

/// Removes a value from the start of `rest` and returns it without quotes.
std::string take_value(std::string_view& rest) {
    if (!rest.starts_with('"')) {
        return std::string{take_word(rest)};
    }
    rest.remove_prefix(1);
    std::string value;
    while (!rest.empty() && rest.front() != '"') {
        if (rest.front() == '\\' && rest.size() > 1) {
            rest.remove_prefix(1);
        }
        value.push_back(rest.front());
        rest.remove_prefix(1);
    }
    rest.remove_prefix(rest.empty() ? 0 : 1);
    return value;
}

} // namespace

std::string log_line::field(const std::string& name) const {
    const auto found = fields_.find(name);
    return found == fields_.end() ? std::string{} : found->second;
}

std::optional<log_line> parse_log_line(std::string source, std::string_view text) {
    const auto start = find_date_time(text);
    if (start == std::string_view::npos) {
        return std::nullopt;
    }
    log_line line;
    line.source_ = std::move(source);
    line.text_ = text.substr(start);
    line.time_ = text.substr(start, date_time_length);
    auto rest = text.substr(start + date_time_length);
    static_cast<void>(take_word(rest)); // The severity.
    const auto number = take_word(rest);
    if (!number.starts_with('E') ||
        std::from_chars(number.data() + 1, number.data() + number.size(), line.event_).ptr !=
            number.data() + number.size()) {
        return std::nullopt;
    }
    static_cast<void>(take_word(rest)); // The event's name, which its number determines.
    while (true) {
        const auto name_start = rest.find_first_not_of(' ');
        const auto separator = rest.find('=');
        if (name_start == std::string_view::npos || separator == std::string_view::npos) {
            return line;
        }
        auto name = std::string{rest.substr(name_start, separator - name_start)};
        rest.remove_prefix(separator + 1);
        line.fields_.insert_or_assign(std::move(name), take_value(rest));
    }
}

} // namespace operators
