#pragma once

#include <base/store_revision.hpp>

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace platform {

/// A condition on a key: its revision, or number 0 for a key that does not exist, in the history of the store
/// in which that was read.
struct expected_revision {
    std::string key_;
    base::store_revision revision_;

    friend auto operator<=>(const expected_revision&, const expected_revision&) = default;
};

/// A value to write.
struct store_put {
    std::string key_;
    std::string value_;
    /// The lease that the key is attached to; 0 for none.
    std::uint64_t lease_ = 0;

    friend auto operator<=>(const store_put&, const store_put&) = default;
};

/// Changes that are applied atomically if all conditions hold.
struct store_transaction {
    std::vector<expected_revision> expected_;
    std::vector<store_put> puts_;
    std::vector<std::string> removals_;

    friend auto operator<=>(const store_transaction&, const store_transaction&) = default;
};

/// The result of a transaction.
struct transaction_result {
    bool applied_ = false;
    /// The store revision of the changes, if they were applied.
    base::store_revision revision_;

    friend auto operator<=>(const transaction_result&, const transaction_result&) = default;
};

} // namespace platform
