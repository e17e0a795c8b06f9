#pragma once

#include <base/result.hpp>
#include <operators/configuration.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace operators {

/// Encodes a configuration as JSON, for the platform's store and for gossip.
/// Precondition: its texts are valid UTF-8 and its addresses have a text and a port, as every configuration
/// has that was read from files or decoded.
[[nodiscard]] std::string encode_configuration(const configuration& source);

/// Decodes what `encode_configuration` returned. Members that are not known are ignored, so that a later
/// version can add some. Errors: `declaration_invalid` for anything else.
[[nodiscard]] base::result<configuration> decode_configuration(std::string_view text);

/// Decodes a value of the store, whose revision only the store knows. Errors: `declaration_invalid`.
[[nodiscard]] base::result<configuration> decode_stored_configuration(std::string_view text,
                                                                      std::uint64_t revision);

/// Returns the SHA-256 of the declarations in hexadecimal, without revision and publisher: two publications
/// of the same declarations have the same fingerprint.
[[nodiscard]] std::string fingerprint_of(const configuration& source);

} // namespace operators
