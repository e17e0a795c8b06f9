#pragma once

#include <base/result.hpp>
#include <operators/configuration.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace operators {

/// Encodes a configuration as JSON, for the platform's store and for gossip.
/// Precondition: all texts are valid UTF-8 and all addresses have a host and a port, as in every
/// configuration that was read from files or decoded.
[[nodiscard]] std::string encode_configuration(const configuration& source);

/// Decodes the output of `encode_configuration`. Unknown members are ignored, so that later versions can add
/// members. Errors: `declaration_invalid` for any other text.
[[nodiscard]] base::result<configuration> decode_configuration(std::string_view text);

/// Decodes a value of the store and sets its revision, which the value itself does not contain.
/// Errors: `declaration_invalid`.
[[nodiscard]] base::result<configuration> decode_stored_configuration(std::string_view text,
                                                                      std::uint64_t revision);

/// Returns the hexadecimal SHA-256 hash of the declarations. Revision and publisher are excluded, so that two
/// publications of the same declarations have the same fingerprint.
[[nodiscard]] std::string fingerprint_of(const configuration& source);

} // namespace operators
