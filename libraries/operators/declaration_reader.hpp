#pragma once

#include <operators/problem.hpp>
#include <operators/service_declaration.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace operators {

/// Parses the service declaration in the text of an INI file. `file` is the file name in reported problems.
[[nodiscard]] checked<service_declaration> read_declaration(std::string_view text, std::string file);

/// Reads a service declaration from a file. An unreadable file is reported as a problem.
[[nodiscard]] checked<service_declaration> load_declaration(const std::string& path);

/// Returns the problems of values that are each in range but contradict one another. Unset members (zero or
/// empty) are not checked. `file` is the file name in reported problems.
[[nodiscard]] std::vector<problem> find_contradictions(const service_declaration& declaration,
                                                       const std::string& file);

} // namespace operators
