#pragma once

#include <base/clock.hpp>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace daemons {

/// How exactly the limits of tenants have to be kept: in any window, at most (rate x window + burst) x
/// (1 + over) + slack operations of a tenant may reach databases.
struct quota_bounds {
    base::clock::duration window_{5'000};
    double over_ = 0.1;
    double slack_ = 20;

    friend auto operator<=>(const quota_bounds&, const quota_bounds&) = default;
};

/// The limit of one tenant over all daemons.
struct quota_limit {
    /// Operations per second.
    double rate_ = 0;
    double burst_ = 0;

    friend auto operator<=>(const quota_limit&, const quota_limit&) = default;
};

/// A daemon's own bucket for one tenant. All zero at a daemon that holds none.
struct local_bucket {
    /// The part of the tenant's rate at which it is filled while the daemon has no leader.
    double share_ = 0;
    /// In operations.
    double capacity_ = 0;

    friend auto operator<=>(const local_bucket&, const local_bucket&) = default;
};

/// The part of its share at which a daemon's own bucket is filled while the leader lends to the daemon.
inline constexpr double local_part = 0.3;
/// A daemon that has had no response from the leader for this long fills its own buckets at the whole share.
inline constexpr base::clock::duration quota_contact_timeout{1'200};
/// How long lent tokens may be used after they were requested.
inline constexpr base::clock::duration lent_token_lifetime{1'000};
/// A daemon lends as the leader only while it has verified its leadership in the store less than this long
/// ago.
inline constexpr base::clock::duration max_lending_verification_age{1'300};
/// A new leader lends from this long after it acquired the leadership, unless its predecessor has resigned or
/// ended: then its predecessor lends no more. What the predecessor lent is covered by its filled buckets.
inline constexpr base::clock::duration lending_delay = max_lending_verification_age;
/// A token is returned to its bucket only if it was taken less than this long ago.
inline constexpr base::clock::duration max_token_return_age{250};

/// Returns the tokens per second that fill all buckets of a tenant together. It exceeds the tenant's rate by
/// a half of `over_`, because some tokens expire unused at daemons to which no operation comes.
[[nodiscard]] double fill_rate(const quota_limit& limit, const quota_bounds& bounds) noexcept;

/// Returns the tokens that all buckets of a tenant may hold together: the operations that the bounds permit
/// in a window, less those that `fill_rate` supplies. A fifth of the slack is left for rounding.
[[nodiscard]] double total_capacity(const quota_limit& limit, const quota_bounds& bounds) noexcept;

/// Returns the tokens that the daemons' own buckets of a tenant may hold together.
[[nodiscard]] double local_capacity(const quota_limit& limit, const quota_bounds& bounds) noexcept;

/// Returns how many of `daemons` daemons hold a bucket of their own for a tenant: all of them, or as many as
/// there are whole operations in `local_capacity`.
[[nodiscard]] std::size_t count_holders(const quota_limit& limit, const quota_bounds& bounds,
                                        std::size_t daemons) noexcept;

/// Returns how many of the `listed` daemons hold a bucket for a tenant when `daemons` may be running, of
/// which some are not listed any more. The rest of the holders is assumed to be among those.
[[nodiscard]] std::size_t count_listed_holders(std::size_t holders, std::size_t listed,
                                               std::size_t daemons) noexcept;

/// Returns whether a daemon is among the `holders` daemons with the greatest rendezvous weight for a tenant.
[[nodiscard]] bool is_holder(std::string_view tenant, std::string_view daemon,
                             std::span<const std::string> listed, std::size_t holders) noexcept;

/// Returns the bucket of a daemon for a tenant. `listed` are the registered daemons, `daemons` is the number
/// of daemons that may be running, at least as many. Thread safety: pure function, as all of this header.
[[nodiscard]] local_bucket local_bucket_of(std::string_view tenant, const quota_limit& limit,
                                           const quota_bounds& bounds, std::string_view daemon,
                                           std::span<const std::string> listed, std::size_t daemons) noexcept;

/// Returns the number that stands for a tenant's name in messages.
[[nodiscard]] std::uint64_t quota_hash(std::string_view tenant) noexcept;

} // namespace daemons
