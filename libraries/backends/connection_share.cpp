#include <backends/connection_share.hpp>

#include <algorithm>

namespace backends {

namespace {

// Other daemons hold a connection for a transaction or two; an earlier attempt only adds load to the
// database.
constexpr base::clock::duration refusal_backoff{250};
// Scarce connections are released after each use, so that a retry can succeed sooner.
constexpr base::clock::duration scarce_refusal_backoff{100};
// Databases drop the connections of unreachable hosts after three seconds.
constexpr base::clock::duration lost_host_timeout{3'000};
constexpr std::uint32_t shared_percent = 60;
constexpr base::clock::duration max_idle_time{20'000};
// Longer than the interval between two bursts of statements of one client.
constexpr base::clock::duration scarce_max_idle_time{1'000};
// Longer than the interval between two consecutive statements of a client that sends the next one at once.
constexpr base::clock::duration contended_max_idle_time{40};

} // namespace

connection_share::connection_share(std::uint32_t max_connections, std::uint32_t daemons) noexcept
    : max_connections_{std::max(max_connections, 1U)},
      share_{std::max((max_connections_ * shared_percent / 100 + daemons / 2) / std::max(daemons, 1U), 1U)},
      is_scarce_{max_connections_ * shared_percent / 100 < daemons} {}

bool connection_share::may_open(std::uint32_t open, connection_pressure pressure,
                                base::clock::time_point now) const noexcept {
    if (now < backoff_until_) {
        return false;
    }
    const bool may_exceed_share = pressure == connection_pressure::waiting && now >= share_enforced_until_;
    // One connection stays free for requests about the database's role.
    return open < (may_exceed_share ? std::max(max_connections_ - 1, share_) : share_);
}

base::clock::duration connection_share::max_idle(base::clock::time_point now) const noexcept {
    if (!is_scarce_) {
        return max_idle_time;
    }
    return now < share_enforced_until_ ? contended_max_idle_time : scarce_max_idle_time;
}

connection_share connection_share::record_start(base::clock::time_point now) const noexcept {
    auto changed = *this;
    changed.share_enforced_until_ = now + lost_host_timeout;
    return changed;
}

connection_share connection_share::record_refusal(base::clock::time_point now) const noexcept {
    auto changed = record_start(now);
    changed.backoff_until_ = now + (is_scarce_ ? scarce_refusal_backoff : refusal_backoff);
    return changed;
}

connection_share connection_share::with_limits(std::uint32_t max_connections,
                                               std::uint32_t daemons) const noexcept {
    connection_share changed{max_connections, daemons};
    changed.backoff_until_ = backoff_until_;
    changed.share_enforced_until_ = share_enforced_until_;
    return changed;
}

} // namespace backends
