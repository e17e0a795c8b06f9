#pragma once

#include <backends/database_line.hpp>
#include <backends/prepared_name.hpp>
#include <base/log_position.hpp>
#include <base/prepared_statement.hpp>

#include <concepts>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace backends {

/// Whether a transaction may write.
enum class transaction_access : std::uint8_t { read_write, read_only };

/// Encodes the messages to a database and decodes the lines of its responses. Production code uses the
/// platform's adapter.
template <typename Protocol>
concept database_protocol = requires(std::string_view text, std::optional<base::log_position> position,
                                     transaction_access access, const base::prepared_statement& prepared,
                                     prepared_name name, std::uint64_t term) {
    { Protocol::start_connection(text, text, text) } -> std::same_as<std::string>;
    { Protocol::statement(text, text, position) } -> std::same_as<std::string>;
    { Protocol::begin(access, position) } -> std::same_as<std::string>;
    { Protocol::rollback() } -> std::same_as<std::string>;
    { Protocol::reset() } -> std::same_as<std::string>;
    { Protocol::set_value(text, text) } -> std::same_as<std::string>;
    { Protocol::prepared_name(name) } -> std::same_as<std::string>;
    { Protocol::prepare(name, prepared) } -> std::same_as<std::string>;
    { Protocol::execute(text, name, text, position) } -> std::same_as<std::string>;
    { Protocol::status() } -> std::same_as<std::string>;
    { Protocol::step_down(term) } -> std::same_as<std::string>;
    { Protocol::decode_database(text) } -> std::same_as<database_line>;
    { Protocol::decode_report(text) } -> std::same_as<std::optional<database_report>>;
};

} // namespace backends
