#pragma once

#include <base/clock.hpp>
#include <base/immutable.hpp>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace daemons {

/// Most tenants that one message names. Together with the rest of a message they stay within one datagram.
inline constexpr std::size_t max_quota_entries = 60;

/// One tenant in a request for tokens or in its response.
struct quota_entry_fields {
    /// `quota_hash` of the tenant's name.
    std::uint64_t tenant_ = 0;
    /// Tokens that are wanted, or lent.
    std::uint32_t count_ = 0;
    /// In a response: when the leader expects to have a further token for the tenant; 0 if it lent all that
    /// was wanted.
    std::uint32_t retry_after_ms_ = 0;

    friend auto operator<=>(const quota_entry_fields&, const quota_entry_fields&) = default;
    friend bool operator==(const quota_entry_fields&, const quota_entry_fields&) = default;
};

using quota_entry = base::immutable<quota_entry_fields>;

/// The part of a request to the leader and of its response that is about limits of tenants.
struct quota_part_fields {
    /// In a response: the fencing token of the leadership. In a request: that of the last response which the
    /// sender has received; 0 if the leader must not count on it, because the sender may fill its own buckets
    /// at their whole share or another leader counts on it.
    std::uint64_t epoch_ = 0;
    /// In a response: the leader's time when it was sent, in milliseconds. In a request: the same of the last
    /// response that the sender has received.
    std::uint64_t leader_time_ms_ = 0;
    /// In a request: how many daemons the sender shares the limits with.
    std::uint32_t daemons_ = 0;
    std::vector<quota_entry> entries_;

    /// Returns whether there is nothing to say: without limits, or before the first read of the store.
    [[nodiscard]] bool is_empty() const noexcept { return epoch_ == 0 && daemons_ == 0 && entries_.empty(); }

    friend auto operator<=>(const quota_part_fields&, const quota_part_fields&) = default;
    friend bool operator==(const quota_part_fields&, const quota_part_fields&) = default;
};

using quota_part = base::immutable<quota_part_fields>;

} // namespace daemons
