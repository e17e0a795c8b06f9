#include <daemons/takeover_claim.hpp>

namespace daemons {

bool is_current(takeover_claim claim, std::optional<base::store_revision> leadership,
                base::store_revision known_record) noexcept {
    return leadership == claim.leadership_ && known_record == claim.record_;
}

} // namespace daemons
