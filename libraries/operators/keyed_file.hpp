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

/// A value as its declared type holds it.
using key_value = std::variant<std::string, std::uint64_t, base::endpoint, std::vector<base::endpoint>>;

/// One section whose keys were read and checked against their descriptions.
struct keyed_section {
    /// The first word of the section, for example `rank`.
    std::string kind_;
    /// What follows the kind; empty for a section that stands once.
    std::string name_;
    /// Given values and defaults; keys that have a problem are absent.
    std::map<std::string, key_value, std::less<>> values_;

    /// Returns the value of a key, or an empty value if the key is absent.
    /// Precondition: the key's description has this type.
    template <typename T>
    [[nodiscard]] T value_of(std::string_view key) const {
        const auto found = values_.find(key);
        return found == values_.end() ? T{} : std::get<T>(found->second);
    }

    friend auto operator<=>(const keyed_section&, const keyed_section&) = default;
};

/// A file read against its format, with all problems that a single key or section can show by itself.
struct keyed_file {
    std::string file_;
    /// In the order of the file.
    std::vector<keyed_section> sections_;
    std::vector<problem> problems_;

    /// Returns the sections of a kind in the order of the file.
    [[nodiscard]] std::vector<keyed_section> sections_of(std::string_view kind) const;
    /// Returns the one section of a kind, empty if it is missing.
    [[nodiscard]] keyed_section section_of(std::string_view kind) const;

    friend auto operator<=>(const keyed_file&, const keyed_file&) = default;
};

/// Reads the text of a file. `file` stands for it in problems. Never fails: what is wrong is in `problems_`.
[[nodiscard]] keyed_file read_keyed_text(std::string_view text, std::string file, const file_format& format);

/// Returns the whole content of a file. Errors: `settings_invalid` when it cannot be read.
[[nodiscard]] base::result<std::string> read_whole_file(const std::string& path);

} // namespace operators
