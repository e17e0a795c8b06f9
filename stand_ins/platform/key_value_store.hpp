#pragma once

#include <base/clock.hpp>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace stand_ins::platform {

/// A key's value as the store tells it. An absent key has revision 0.
struct stored_item {
    bool found_ = false;
    std::string value_;
    std::uint64_t revision_ = 0;

    friend auto operator<=>(const stored_item&, const stored_item&) = default;
};

/// The result of a compare-and-swap: whether it was made, and the key's revision after it.
struct swap_result {
    bool applied_ = false;
    std::uint64_t revision_ = 0;

    friend auto operator<=>(const swap_result&, const swap_result&) = default;
};

/// Keys with revisions, and leases whose end removes the keys that were put under them.
///
/// Revisions grow over all keys, so a key that was removed and put again never repeats one. Every function
/// takes the time; none reads a clock. Thread safety: used by one thread.
class key_value_store {
public:
    [[nodiscard]] stored_item get(const std::string& key) const;

    /// Puts a value if the key's revision is `expected` (0: the key is absent). With a lease that is not held
    /// nothing is put.
    swap_result put_if(const std::string& key, std::string value, std::uint64_t expected,
                       std::optional<std::uint64_t> lease = std::nullopt);

    /// Grants a lease and returns its number.
    std::uint64_t grant_lease(base::clock::duration length, base::clock::time_point now);
    /// Extends a lease by its length from now on. Returns whether it was still held.
    bool renew_lease(std::uint64_t lease, base::clock::time_point now);
    /// Ends the leases that are due. Returns whether a key was removed.
    bool expire_leases(base::clock::time_point now);
    /// Ends all leases. Returns whether a key was removed.
    bool expire_all_leases();
    /// Returns when the next lease is due.
    [[nodiscard]] std::optional<base::clock::time_point> next_expiry() const;

    [[nodiscard]] std::size_t keys() const noexcept { return items_.size(); }
    [[nodiscard]] std::size_t leases() const noexcept { return leases_.size(); }

private:
    struct item {
        std::string value_;
        std::uint64_t revision_ = 0;
        std::optional<std::uint64_t> lease_;
    };
    struct held_lease {
        base::clock::duration length_{0};
        base::clock::time_point end_;
    };

    template <typename Predicate>
    bool end_leases(Predicate is_over);

    std::map<std::string, item> items_;
    std::map<std::uint64_t, held_lease> leases_;
    std::uint64_t last_revision_ = 0;
    std::uint64_t last_lease_ = 0;
};

/// Returns whether a watch after `revision` has to be answered with `present`: the key has another revision
/// than the watcher knows. A watcher that knows an absent key has revision 0.
[[nodiscard]] bool has_changed(const stored_item& present, std::uint64_t revision) noexcept;

} // namespace stand_ins::platform
