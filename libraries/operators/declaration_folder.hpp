#pragma once

#include <operators/configuration.hpp>
#include <operators/problem.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace operators {

/// The file name suffix of declarations.
inline constexpr std::string_view declaration_file_ending = ".service.ini";

/// A declaration and the file that it was read from.
struct declared_service {
    std::string file_;
    service_declaration declaration_;

    friend auto operator<=>(const declared_service&, const declared_service&) = default;
};

/// The valid declarations of a directory, sorted by file, and the problems of the other files.
struct loaded_declarations {
    std::vector<declared_service> services_;
    std::vector<problem> problems_;

    friend auto operator<=>(const loaded_declarations&, const loaded_declarations&) = default;
};

/// Reads all `*.service.ini` files in a directory and its subdirectories. Symbolic links to directories are
/// not followed. A directory without declarations is reported as a problem.
[[nodiscard]] loaded_declarations load_declarations(const std::string& directory);

/// Combines declarations into a configuration with revision 0 and no publisher. Reports services that are
/// declared twice and database addresses that two services share.
[[nodiscard]] checked<configuration> combine_declarations(std::vector<declared_service> services);

/// Reads and combines all declarations in a directory and its subdirectories. The result has no value if any
/// file has a problem.
[[nodiscard]] checked<configuration> collect_declarations(const std::string& directory);

} // namespace operators
