#pragma once

#include <base/clock.hpp>
#include <daemons/quota_bucket.hpp>
#include <daemons/quota_message.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace daemons {

/// The tokens that one leadership lends to the daemons.
///
/// Daemons that it hears fill their own buckets at `local_part` of their share, all others may fill them at
/// the whole share; what remains of a tenant's rate fills the bucket here. A daemon counts as heard up to the
/// time for which it has promised not to use its whole share (`quota_contact`). Buckets start empty. The sum
/// of a bucket's content and of the tokens that were lent and may still be used never exceeds its capacity.
///
/// Thread safety: used by one thread only. The caller passes the time, which does not run backwards.
class quota_ledger {
public:
    /// `epoch` is the fencing token of the leadership, which was acquired at `acquired_at`. The ledger lends
    /// from `lends_from` on (`lending_delay`).
    quota_ledger(std::uint64_t epoch, quota_bounds bounds, base::clock::time_point acquired_at,
                 base::clock::time_point lends_from);

    /// Sets the limits, keyed by the tenant's name. Buckets of lowered limits are cut, new ones start empty.
    void set_limits(const std::map<std::string, quota_limit>& limits, base::clock::time_point now);

    /// Sets the registered daemons, and how many may be running, which is at least as many.
    void set_fleet(std::vector<std::string> listed, std::size_t daemons, base::clock::time_point now);

    /// Returns the response to a daemon's request: what is lent, and which tenants have no tokens left.
    /// Returns nothing before the ledger lends.
    [[nodiscard]] std::optional<quota_part> respond(const std::string& daemon, const quota_part& request,
                                                    base::clock::time_point now);

private:
    struct daemon_state {
        /// The daemon counts as heard from and to these times.
        base::clock::time_point heard_from_{};
        base::clock::time_point heard_until_{};
        /// The number of daemons with which it shares the limits, as it last stated.
        std::uint32_t daemons_ = 0;
        base::clock::time_point last_request_at_{};
        bool is_listed_ = false;
    };
    struct lent_slot {
        std::int64_t number_ = 0;
        double count_ = 0;
    };
    struct bucket {
        std::string tenant_;
        quota_limit limit_;
        double content_ = 0;
        base::clock::time_point filled_at_{};
        /// The value of `common_fill_s_` when it was last filled.
        double common_fill_s_ = 0;
        std::array<lent_slot, 11> lent_{};
        /// The daemons that hold a bucket of their own, if not all do.
        std::vector<std::string> holders_;
        std::size_t holder_count_ = 0;
        std::uint64_t fleet_version_ = 0;
        double capacity_ = 0;
        /// Tokens per second that arrive at present.
        double fill_rate_ = 0;
        /// Tokens that were wanted and not lent in the current period and the one before.
        double unmet_ = 0;
        double previous_unmet_ = 0;
        base::clock::time_point unmet_since_{};
    };
    /// The sums over all daemons of their shares.
    struct share_sums {
        /// Of their capacities.
        double capacity_ = 0;
        /// Of the rates at which they may fill their buckets, averaged over a span.
        double rate_ = 0;
    };

    void note_request(daemon_state& daemon, const quota_part& request, base::clock::time_point now);
    void advance(base::clock::time_point now);
    void refill(bucket& filled, base::clock::time_point now);
    void find_holders(bucket& filled) const;
    [[nodiscard]] share_sums sum_shares(const bucket& filled, base::clock::time_point from,
                                        base::clock::time_point to) const;
    /// Returns which part of its share a daemon may have used on average in a span.
    [[nodiscard]] static double used_part(const daemon_state& daemon, base::clock::time_point from,
                                          base::clock::time_point to) noexcept;
    [[nodiscard]] static double outstanding(const bucket& lender, base::clock::time_point now) noexcept;
    [[nodiscard]] static std::uint32_t estimate_retry(bucket& lender, double unmet,
                                                      base::clock::time_point now) noexcept;
    [[nodiscard]] std::size_t daemons_known_to(const daemon_state& daemon) const noexcept;
    quota_entry lend(bucket& lender, const quota_entry& wanted, base::clock::time_point now);

    std::uint64_t epoch_;
    quota_bounds bounds_;
    std::unordered_map<std::uint64_t, bucket> buckets_;
    std::map<std::string, daemon_state> daemons_;
    std::vector<std::string> listed_;
    std::size_t running_ = 0;
    std::uint64_t fleet_version_ = 0;
    base::clock::time_point lends_from_;
    base::clock::time_point advanced_at_;
    /// For tenants of which every daemon holds a bucket: the time for which the leader may fill buckets at
    /// the whole rate, in seconds since the start.
    double common_fill_s_ = 0;
    share_sums common_;
    /// Daemons that share the limits with another number of daemons than this leader.
    std::vector<std::string> deviating_;
};

} // namespace daemons
