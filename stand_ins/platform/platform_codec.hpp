#pragma once

#include <base/clock.hpp>
#include <base/result.hpp>
#include <stand_ins/platform/host_history.hpp>
#include <stand_ins/platform/key_value_store.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace stand_ins::platform {

/// The fields that the platform's requests and control requests have; each path uses some of them.
struct platform_request {
    std::string key_;
    std::string value_;
    std::uint64_t expected_revision_ = 0;
    std::uint64_t after_revision_ = 0;
    std::optional<std::uint64_t> lease_;
    std::optional<base::clock::duration> milliseconds_;
    std::optional<std::uint64_t> count_;
    /// The kind of outage: `close` or `silent`.
    std::string mode_;
    std::optional<host_items> hosts_;
    std::optional<base::clock::duration> lag_;

    friend bool operator==(const platform_request&, const platform_request&) = default;
};

/// Reads a request; an empty body is an empty object. Errors: `invalid_request`.
[[nodiscard]] base::result<platform_request> decode_request(std::string_view body);

[[nodiscard]] std::string encode_item(const stored_item& item);
[[nodiscard]] std::string encode_watch(const stored_item& item, bool changed);
[[nodiscard]] std::string encode_swap(const swap_result& result);
[[nodiscard]] std::string encode_lease(std::uint64_t lease, bool held);
[[nodiscard]] std::string encode_hosts(const host_items& hosts);
[[nodiscard]] std::string encode_counts(const std::map<std::string, std::uint64_t>& counts);

} // namespace stand_ins::platform
