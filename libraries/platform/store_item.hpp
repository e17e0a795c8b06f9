#pragma once

#include <base/store_revision.hpp>

#include <compare>
#include <optional>
#include <string>
#include <vector>

namespace platform {

/// A key of the store with its value.
struct store_item {
    std::string key_;
    std::string value_;
    /// The revision of the last change of this key, in the history in which it was read.
    base::store_revision revision_;
    /// The store's revision at the time of the response; number 0 for an item of a page or an event.
    base::store_revision read_at_;

    friend auto operator<=>(const store_item&, const store_item&) = default;
};

/// A page of the keys with a prefix.
struct store_page {
    std::vector<store_item> items_;
    /// The keys of this page whose items cannot be decoded.
    std::vector<std::string> undecodable_keys_;
    /// The last key of the page, after which the next page begins. Empty for an empty page.
    std::string last_key_;
    /// Whether more keys follow the last one.
    bool has_more_ = false;
    /// The store's revision at the time of the response.
    base::store_revision at_;

    friend auto operator<=>(const store_page&, const store_page&) = default;
};

/// The change of one key, which was written or removed.
struct store_event {
    std::string key_;
    base::store_revision revision_;
    /// Empty when the key was removed.
    std::optional<std::string> value_;

    friend auto operator<=>(const store_event&, const store_event&) = default;
};

/// The changes of the keys with a prefix.
struct store_changes {
    std::vector<store_event> events_;
    /// The changed keys whose new items cannot be decoded.
    std::vector<std::string> undecodable_keys_;
    /// The revision from which to continue watching.
    base::store_revision at_;

    friend auto operator<=>(const store_changes&, const store_changes&) = default;
};

} // namespace platform
