#pragma once

#include <compare>
#include <cstdint>
#include <optional>

namespace daemons {

/// What one takeover depends on: the leadership under which it began, and the record of its service that it
/// last wrote or read.
struct takeover_claim {
    /// The fencing token of the leadership.
    std::uint64_t token_ = 0;
    /// The store's revision of the record; 0 when there is none.
    std::uint64_t record_revision_ = 0;

    friend auto operator<=>(const takeover_claim&, const takeover_claim&) = default;
};

/// Returns whether a takeover may continue. It may not once the leadership was lost, even if the same daemon
/// has acquired it again since: another leader may have finished the takeover in between, so that the primary
/// that was stopped is no longer the one in use. `leader_token` is empty while this daemon is not the leader;
/// `known_revision` is 0 when no record is known. Thread safety: pure.
[[nodiscard]] bool is_current(takeover_claim claim, std::optional<std::uint64_t> leader_token,
                              std::uint64_t known_revision) noexcept;

} // namespace daemons
