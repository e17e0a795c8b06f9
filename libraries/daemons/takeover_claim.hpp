#pragma once

#include <base/store_revision.hpp>

#include <compare>
#include <optional>

namespace daemons {

/// What one takeover depends on: the leadership under which it began, and the record of its service that it
/// last wrote or read.
struct takeover_claim {
    /// The store's revision at which the leadership was acquired.
    base::store_revision leadership_;
    /// The revision of the record, see `takeover_record_fields`; number 0 when there is none.
    base::store_revision record_;

    friend auto operator<=>(const takeover_claim&, const takeover_claim&) = default;
};

/// Returns whether a takeover may continue. It may not once the leadership was lost, even if the same daemon
/// has acquired it again since: another leader may have finished the takeover in between, so that the primary
/// that was stopped is no longer the one in use. `leadership` is empty while this daemon is not the leader;
/// `known_record` has number 0 when no record is known. Thread safety: pure.
[[nodiscard]] bool is_current(takeover_claim claim, std::optional<base::store_revision> leadership,
                              base::store_revision known_record) noexcept;

} // namespace daemons
