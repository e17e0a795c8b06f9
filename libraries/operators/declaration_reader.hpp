#pragma once

#include <operators/problem.hpp>
#include <operators/service_declaration.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace operators {

/// Reads a service's declaration from the text of an INI file. `file` stands for it in problems.
[[nodiscard]] checked<service_declaration> read_declaration(std::string_view text, std::string file);

/// Reads a service's declaration from a file; an unreadable file is a problem too.
[[nodiscard]] checked<service_declaration> load_declaration(const std::string& path);

/// Finds values that are each in range but impossible together. Members that are unset (zero or empty) are
/// left out. `file` stands for the declaration in problems.
[[nodiscard]] std::vector<problem> find_contradictions(const service_declaration& declaration,
                                                       const std::string& file);

} // namespace operators
