#include <backends/connection_share.hpp>

#include <algorithm>

namespace backends {

namespace {

// Connections of other daemons are held for a transaction or two; trying again sooner only costs the
// database.
constexpr base::clock::duration pause_after_refusal{250};
// Scarce connections are handed on after each use.
constexpr base::clock::duration scarce_pause_after_refusal{100};
// Databases drop the connections of hosts that are gone after three seconds.
constexpr base::clock::duration gone_hosts_count{3'000};
constexpr std::uint32_t shared_percent = 60;
constexpr base::clock::duration usual_idle{20'000};
// Longer than the pause between two bursts of statements of one client.
constexpr base::clock::duration scarce_idle{1'000};
// Covers the pause between two statements of a client that goes on at once.
constexpr base::clock::duration handed_on_idle{40};

} // namespace

connection_share::connection_share(std::uint32_t most_connections, std::uint32_t daemons) noexcept
    : most_{std::max(most_connections, 1U)}, share_{std::max((most_ * shared_percent / 100 + daemons / 2) /
                                                                 std::max(daemons, 1U),
                                                             1U)},
      is_scarce_{most_ * shared_percent / 100 < daemons} {}

bool connection_share::may_open(std::uint32_t open, connection_pressure pressure,
                                base::clock::time_point now) const noexcept {
    if (now < refused_until_) {
        return false;
    }
    const bool may_exceed_share = pressure == connection_pressure::waiting && now >= keeps_to_share_until_;
    // One connection stays free for questions about the database's role.
    return open < (may_exceed_share ? std::max(most_ - 1, share_) : share_);
}

base::clock::duration connection_share::max_idle(base::clock::time_point now) const noexcept {
    if (!is_scarce_) {
        return usual_idle;
    }
    return now < keeps_to_share_until_ ? handed_on_idle : scarce_idle;
}

connection_share connection_share::record_start(base::clock::time_point now) const noexcept {
    auto changed = *this;
    changed.keeps_to_share_until_ = now + gone_hosts_count;
    return changed;
}

connection_share connection_share::record_refusal(base::clock::time_point now) const noexcept {
    auto changed = record_start(now);
    changed.refused_until_ = now + (is_scarce_ ? scarce_pause_after_refusal : pause_after_refusal);
    return changed;
}

connection_share connection_share::with_limits(std::uint32_t most_connections,
                                               std::uint32_t daemons) const noexcept {
    connection_share changed{most_connections, daemons};
    changed.refused_until_ = refused_until_;
    changed.keeps_to_share_until_ = keeps_to_share_until_;
    return changed;
}

} // namespace backends
