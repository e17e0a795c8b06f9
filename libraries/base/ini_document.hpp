#pragma once

#include <base/result.hpp>

#include <compare>
#include <string>
#include <string_view>
#include <vector>

namespace base {

/// One `key = value` line.
struct ini_entry {
    std::string section_;
    std::string key_;
    std::string value_;

    friend auto operator<=>(const ini_entry&, const ini_entry&) = default;
};

/// The content of an INI file in the order of its lines, repeated keys included. Thread safety: immutable
/// value.
class ini_document {
public:
    /// Reads a file. Errors: `settings_invalid` when it cannot be opened or is not INI.
    [[nodiscard]] static result<ini_document> load(const std::string& path);
    /// Reads text. `name` stands for the file in messages. Errors: `settings_invalid`.
    [[nodiscard]] static result<ini_document> parse(std::string_view text, std::string name);

    /// Returns the file's name as given to `load` or `parse`.
    [[nodiscard]] const std::string& name() const noexcept { return name_; }
    /// Returns the sections in order of first appearance.
    [[nodiscard]] const std::vector<std::string>& sections() const noexcept { return sections_; }
    /// Returns every line in order; a key that stands twice appears twice.
    [[nodiscard]] const std::vector<ini_entry>& entries() const noexcept { return entries_; }

    friend auto operator<=>(const ini_document&, const ini_document&) = default;

private:
    ini_document() = default;

    std::string name_;
    std::vector<std::string> sections_;
    std::vector<ini_entry> entries_;
};

} // namespace base
