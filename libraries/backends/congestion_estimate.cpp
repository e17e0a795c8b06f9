#include <backends/congestion_estimate.hpp>

#include <algorithm>

namespace backends {

std::uint32_t most_statements(std::uint32_t slots, std::uint32_t daemons, std::uint32_t priority,
                              bool is_congested) noexcept {
    const auto equal_share = (2 * slots + daemons - 1) / daemons;
    const auto usual = std::max({2U, (slots + 1) / 2, equal_share});
    if (priority == 0) {
        return usual + 1;
    }
    return is_congested ? std::max(usual / 2, 1U) : usual;
}

} // namespace backends
