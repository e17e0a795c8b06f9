#include <backends/connection_share.hpp>

#include <algorithm>

namespace backends {

namespace {

// Connections of other daemons are held for a transaction or two; trying again sooner only costs the
// database.
constexpr base::clock::duration pause_after_refusal{250};

} // namespace

connection_share::connection_share(std::uint32_t most_connections, std::uint32_t daemons) noexcept
    : most_{std::max(most_connections, 1U)},
      // One connection stays free for questions about the database's role.
      share_{std::max((most_ - 1) / std::max(daemons, 1U), 1U)} {}

bool connection_share::may_open(std::uint32_t open, base::clock::time_point now) const noexcept {
    if (now < refused_until_) {
        return false;
    }
    return open < std::max(most_ - 1, share_);
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
