#include <daemons/takeover_claim.hpp>

namespace daemons {

bool is_current(takeover_claim claim, std::optional<std::uint64_t> leader_token,
                std::uint64_t known_revision) noexcept {
    return leader_token == claim.token_ && known_revision == claim.record_revision_;
}

} // namespace daemons
