#include <backends/connection_share.hpp>

#include <algorithm>

namespace backends {

namespace {

// Connections of other daemons are held for a transaction or two; trying again sooner only costs the
// database.
constexpr base::clock::duration pause_after_refusal{250};
constexpr std::uint32_t shared_percent = 60;

} // namespace

connection_share::connection_share(std::uint32_t most_connections, std::uint32_t daemons) noexcept
    : most_{std::max(most_connections, 1U)}, share_{std::max((most_ * shared_percent / 100 + daemons / 2) /
                                                                 std::max(daemons, 1U),
                                                             1U)} {}

bool connection_share::may_open(std::uint32_t open, connection_pressure pressure,
                                base::clock::time_point now) const noexcept {
    if (now < refused_until_) {
        return false;
    }
    // One connection stays free for questions about the database's role.
    return open < (pressure == connection_pressure::waiting ? std::max(most_ - 1, share_) : share_);
}

connection_share connection_share::after_refusal(base::clock::time_point now) const noexcept {
    auto changed = *this;
    changed.refused_until_ = now + pause_after_refusal;
    return changed;
}

connection_share connection_share::with_limits(std::uint32_t most_connections,
                                               std::uint32_t daemons) const noexcept {
    connection_share changed{most_connections, daemons};
    changed.refused_until_ = refused_until_;
    return changed;
}

} // namespace backends
