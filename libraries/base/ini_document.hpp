#pragma once

#include <base/result.hpp>

#include <compare>
#include <string>
#include <string_view>
#include <vector>

namespace base {

/// One `key = value` line of a section.
struct ini_entry {
    std::string section_;
    std::string key_;
    std::string value_;

    friend auto operator<=>(const ini_entry&, const ini_entry&) = default;
};

/// A parsed INI file: its entries in file order, including repeated keys. Thread safety: immutable value.
class ini_document {
public:
    /// Reads and parses a file. Errors: `settings_invalid` when it cannot be opened or parsed.
    [[nodiscard]] static result<ini_document> load(const std::string& path);
    /// Parses text. Error messages use `name` as the file's name. Errors: `settings_invalid`.
    [[nodiscard]] static result<ini_document> parse(std::string_view text, std::string name);

    /// Returns the file's name, as passed to `load` or `parse`.
    [[nodiscard]] const std::string& name() const noexcept { return name_; }
    /// Returns the section names in order of first appearance.
    [[nodiscard]] const std::vector<std::string>& sections() const noexcept { return sections_; }
    /// Returns all entries in file order; a repeated key has several entries.
    [[nodiscard]] const std::vector<ini_entry>& entries() const noexcept { return entries_; }

    friend auto operator<=>(const ini_document&, const ini_document&) = default;

private:
    ini_document() = default;

    std::string name_;
    std::vector<std::string> sections_;
    std::vector<ini_entry> entries_;
};

} // namespace base
