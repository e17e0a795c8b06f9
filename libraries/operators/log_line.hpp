#pragma once

#include <compare>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace operators {

/// One line of a daemon's log, see `base::log_event`.
struct log_line {
    /// Name of the log that the line stands in.
    std::string source_;
    /// Date and time as written, which sorts by time.
    std::string time_;
    /// Number of the event.
    int event_ = 0;
    std::map<std::string, std::string> fields_;
    /// The whole line as written.
    std::string text_;

    /// Returns a field, or an empty text if the line has none of this name.
    [[nodiscard]] std::string field(const std::string& name) const;

    friend auto operator<=>(const log_line&, const log_line&) = default;
};

/// Parses a line of a log. Whatever stands before its date is ignored, for example the name of a host.
/// Returns nothing for a line that is no event. Thread safety: pure function.
[[nodiscard]] std::optional<log_line> parse_log_line(std::string source, std::string_view text);

} // namespace operators
