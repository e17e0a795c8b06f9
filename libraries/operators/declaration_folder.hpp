#pragma once

#include <operators/configuration.hpp>
#include <operators/problem.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace operators {

/// The ending of the files that `collect_declarations` reads.
inline constexpr std::string_view declaration_file_ending = ".service.ini";

/// A declaration and the file that it was read from.
struct declared_service {
    std::string file_;
    service_declaration declaration_;

    friend auto operator<=>(const declared_service&, const declared_service&) = default;
};

/// The declarations that could be read, sorted by file, and the problems of the others.
struct loaded_declarations {
    std::vector<declared_service> services_;
    std::vector<problem> problems_;

    friend auto operator<=>(const loaded_declarations&, const loaded_declarations&) = default;
};

/// Reads all `*.service.ini` files below a directory. Symbolic links to directories are not followed. A
/// directory without declarations is a problem.
[[nodiscard]] loaded_declarations load_declarations(const std::string& directory);

/// Combines declarations into a configuration with revision 0 and no publisher. Problems: the same service
/// twice, the same database address in two services.
[[nodiscard]] checked<configuration> combine_declarations(std::vector<declared_service> services);

/// Reads and combines all declarations below a directory; without a value if any file has a problem.
[[nodiscard]] checked<configuration> collect_declarations(const std::string& directory);

} // namespace operators
