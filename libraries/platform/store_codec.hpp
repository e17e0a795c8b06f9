#pragma once

#include <base/clock.hpp>
#include <base/result.hpp>
#include <platform/lease_state.hpp>
#include <platform/listed_host.hpp>
#include <platform/put_result.hpp>
#include <platform/stored_value.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Encodes and decodes the JSON bodies of the platform interface.
namespace platform::store_codec {

[[nodiscard]] std::string encode_get(std::string_view key);
[[nodiscard]] std::string encode_put_if(std::string_view key, std::string_view value,
                                        std::uint64_t expected_revision, std::optional<std::uint64_t> lease);
[[nodiscard]] std::string encode_watch(std::string_view key, std::uint64_t after_revision,
                                       base::clock::duration wait);
[[nodiscard]] std::string encode_lease(base::clock::duration length);
[[nodiscard]] std::string encode_renew(std::uint64_t lease);

/// Decodes the response to a get or a watch. Errors: `platform_unavailable` when it is malformed.
[[nodiscard]] base::result<stored_value> decode_value(std::string_view body);
/// Errors: as `decode_value`.
[[nodiscard]] base::result<put_result> decode_put_result(std::string_view body);
/// Errors: as `decode_value`.
[[nodiscard]] base::result<lease_state> decode_lease(std::string_view body);
/// Errors: as `decode_value`. A host with an unknown state counts as leaving, so that it gets no new work.
[[nodiscard]] base::result<std::vector<listed_host>> decode_hosts(std::string_view body);

} // namespace platform::store_codec
