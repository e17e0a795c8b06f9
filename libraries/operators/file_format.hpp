#pragma once

#include <compare>
#include <cstdint>
#include <span>
#include <string_view>

namespace operators {

/// The type of a value: its notation and the unit of its bounds.
enum class value_type : std::uint8_t {
    /// Lower-case letters, digits, `_`, `-` and `.`; bounds count characters.
    name,
    /// Any text without control characters; bounds count bytes.
    text,
    /// Like `text`, but the value never appears in a message.
    secret,
    /// A non-negative integer.
    number,
    /// An integer number of milliseconds.
    milliseconds,
    /// Seconds with an optional fraction; stored as milliseconds, and bounds are in milliseconds.
    seconds,
    /// A number with an optional fraction; stored in thousandths, and bounds are in thousandths.
    decimal,
    /// An integer number of bytes.
    bytes,
    /// An integer percentage.
    percent,
    /// IP address and port.
    address,
    /// Comma-separated addresses; bounds count addresses.
    address_list,
    /// A severity of the logger, or `off`.
    log_level,
};

/// Whether a key or section is required. An empty value of an `optional_or_empty` key counts as absent.
enum class necessity : std::uint8_t { required, optional, optional_or_empty };

/// Whether a section occurs once as `[kind]` or any number of times as `[kind NAME]`.
enum class section_form : std::uint8_t { single, named };

/// Describes one key of a file for parsing, validation and documentation.
struct key_description {
    std::string_view name_;
    value_type type_;
    necessity necessity_;
    /// In the notation of the file; empty for a required key. An optional key with an empty default may be
    /// left empty in the file, which counts as absent.
    std::string_view default_;
    std::uint64_t min_;
    std::uint64_t max_;
    std::string_view meaning_;
};

/// Describes one kind of section.
struct section_description {
    std::string_view kind_;
    section_form form_;
    necessity necessity_;
    /// The type of the name of a `named` section.
    value_type name_type_;
    std::span<const key_description> keys_;
    std::string_view meaning_;
};

/// Describes one kind of file.
struct file_format {
    std::span<const section_description> sections_;
};

/// Maximum length of a name or text, in bytes, unless another bound is declared.
inline constexpr std::uint64_t max_name_bytes = 64;

/// Returns the format of a daemon's settings. Thread safety: any thread.
[[nodiscard]] const file_format& daemon_settings_format() noexcept;

/// Returns the format of a session daemon's settings. Thread safety: any thread.
[[nodiscard]] const file_format& session_settings_format() noexcept;

/// Returns the format of a service's declaration. Thread safety: any thread.
[[nodiscard]] const file_format& service_declaration_format() noexcept;

/// Returns the name of a type for messages and documentation, for example `address:port`.
[[nodiscard]] std::string_view name_of(value_type type) noexcept;

} // namespace operators
