#pragma once

#include <base/store_revision.hpp>
#include <daemons/takeover_record.hpp>
#include <platform/store_item.hpp>

#include <compare>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace proxy {

/// The fleet's keys as one read of the store shows them.
struct stored_fleet {
    /// The history of the store that was read.
    base::store_era era_ = base::store_era::unstated;
    /// The last history whose takeover records a leader has confirmed; unstated if there is none.
    base::store_era confirmed_era_ = base::store_era::unstated;
    std::map<std::string, daemons::registration> registrations_;
    std::vector<daemons::takeover_record> records_;
    /// The leader's entry, decoded as the registration of that daemon. Empty if there is none or if its value
    /// cannot be decoded.
    std::optional<daemons::registration> leadership_;
    /// The revision of the leader's key; number 0 if there is no such key.
    base::store_revision leadership_revision_;
    /// The peer address of the leader.
    std::string leader_;

    friend bool operator==(const stored_fleet&, const stored_fleet&) = default;
};

/// Decodes one item of the fleet's keys and adds it to `fleet`. Returns what is wrong with a value that
/// another writer must have left, or nothing.
///
/// Such a value never counts as absent, because the next conditional write has to name its revision: a
/// damaged takeover record counts as an open takeover, and a damaged registration as that of an unknown
/// process. Thread safety: pure function.
[[nodiscard]] std::optional<std::string> decode_item(const platform::store_item& item, stored_fleet& fleet);

} // namespace proxy
