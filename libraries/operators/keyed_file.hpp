#pragma once

#include <base/endpoint.hpp>
#include <operators/file_format.hpp>
#include <operators/problem.hpp>

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace operators {

/// A parsed value of any declared type.
using key_value = std::variant<std::string, std::uint64_t, base::endpoint, std::vector<base::endpoint>>;

/// One section whose keys were parsed and validated against their descriptions.
struct keyed_section {
    /// The first word of the section title, for example `rank`.
    std::string kind_;
    /// The rest of the section title; empty for a section without a name.
    std::string name_;
    /// Configured values and defaults; keys with a problem are absent.
    std::map<std::string, key_value, std::less<>> values_;

    /// Returns the value of a key, or a default-constructed value if the key is absent.
    /// Precondition: `T` is the type that the key's description implies.
    template <typename T>
    [[nodiscard]] T value_of(std::string_view key) const {
        const auto found = values_.find(key);
        return found == values_.end() ? T{} : std::get<T>(found->second);
    }

    friend auto operator<=>(const keyed_section&, const keyed_section&) = default;
};

/// A file parsed against its format, with all problems that concern a single key or section.
struct keyed_file {
    std::string file_;
    /// In the order of the file.
    std::vector<keyed_section> sections_;
    std::vector<problem> problems_;

    /// Returns all sections of a kind in the order of the file.
    [[nodiscard]] std::vector<keyed_section> sections_of(std::string_view kind) const;
    /// Returns the first section of a kind, or an empty section if there is none.
    [[nodiscard]] keyed_section section_of(std::string_view kind) const;

    friend auto operator<=>(const keyed_file&, const keyed_file&) = default;
};

/// Parses the text of a file. `file` is the file name in reported problems. Never fails: faults of the text
/// are reported in `problems_`.
[[nodiscard]] keyed_file read_keyed_text(std::string_view text, std::string file, const file_format& format);

/// Returns the content of a file. Errors: `settings_invalid` if it cannot be read.
[[nodiscard]] base::result<std::string> read_whole_file(const std::string& path);

} // namespace operators
