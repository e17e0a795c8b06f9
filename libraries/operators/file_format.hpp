#pragma once

#include <compare>
#include <cstdint>
#include <span>
#include <string_view>

namespace operators {

/// How the text of a value is read and what its bounds count.
enum class value_type : std::uint8_t {
    /// Lower-case letters, digits, `_`, `-` and `.`; bounds count characters.
    name,
    /// Any text without control characters; bounds count bytes.
    text,
    /// As `text`, but its value never appears in a message.
    secret,
    /// A whole number.
    number,
    /// A whole number of milliseconds.
    milliseconds,
    /// Seconds with an optional fraction; held as, and bounded in, milliseconds.
    seconds,
    /// A whole number of bytes.
    bytes,
    /// A whole number of percent.
    percent,
    /// IP address and port.
    address,
    /// Addresses separated by commas; bounds count addresses.
    address_list,
    /// One of the levels of the logger.
    log_level,
};

/// Whether a key or section has to be there.
enum class necessity : std::uint8_t { required, optional };

/// Whether a section stands once under its plain name or any number of times as `[kind NAME]`.
enum class section_form : std::uint8_t { single, named };

/// One key of a file: all that is needed to read, check and document it.
struct key_description {
    std::string_view name_;
    value_type type_;
    necessity necessity_;
    /// In the file's own notation; empty for a required key.
    std::string_view default_;
    std::uint64_t lowest_;
    std::uint64_t highest_;
    std::string_view meaning_;
};

/// One kind of section.
struct section_description {
    std::string_view kind_;
    section_form form_;
    necessity necessity_;
    /// How the name of a `named` section is read.
    value_type name_type_;
    std::span<const key_description> keys_;
    std::string_view meaning_;
};

/// One kind of file.
struct file_format {
    std::span<const section_description> sections_;
};

/// Length of the longest name or text, in bytes, where no other bound is declared.
inline constexpr std::uint64_t most_name_bytes = 64;

/// Returns the format of a daemon's settings. Thread safety: constant.
[[nodiscard]] const file_format& daemon_settings_format() noexcept;

/// Returns the format of a session daemon's settings. Thread safety: constant.
[[nodiscard]] const file_format& session_settings_format() noexcept;

/// Returns the format of a service's declaration. Thread safety: constant.
[[nodiscard]] const file_format& service_declaration_format() noexcept;

/// Returns the type's name for messages and pages, for example `address:port`.
[[nodiscard]] std::string_view name_of(value_type type) noexcept;

} // namespace operators
