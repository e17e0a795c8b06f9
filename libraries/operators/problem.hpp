#pragma once

#include <base/error.hpp>

#include <compare>
#include <optional>
#include <string>
#include <vector>

namespace operators {

/// One problem of a settings or declaration file. `section_` and `key_` are empty if the problem concerns the
/// whole file or section. Thread safety: plain value.
struct problem {
    std::string file_;
    std::string section_;
    std::string key_;
    /// Describes the problem. Never contains the value of a secret.
    std::string what_;
    /// How the operator can fix the problem.
    std::string remedy_;

    friend auto operator<=>(const problem&, const problem&) = default;
};

/// A value, or the problems that were found while parsing it. The value is set exactly if there are none.
/// Thread safety: as its value type.
template <typename T>
struct checked {
    std::optional<T> value_;
    std::vector<problem> problems_;

    friend auto operator<=>(const checked&, const checked&) = default;
};

/// Returns `file: [section] key: description; remedy` on one line.
[[nodiscard]] std::string to_string(const problem& fault);

/// Returns an error of the given kind whose message lists all problems.
/// Precondition: `problems` is not empty.
[[nodiscard]] base::error to_error(base::error_kind kind, const std::vector<problem>& problems);

/// Logs one `settings_problem` event for each problem. Thread safety: any thread.
void log_problems(const std::vector<problem>& problems);

} // namespace operators
