#include <daemons/leader_candidates.hpp>

#include <xxhash.h>

#include <algorithm>
#include <cstdint>
#include <utility>

namespace daemons {

std::vector<std::string> leader_candidates(const std::map<std::string, registration>& registrations) {
    // The hash spreads the candidates over the address ranges of the failure domains.
    std::vector<std::pair<std::uint64_t, std::string>> order;
    order.reserve(registrations.size());
    for (const auto& [address, entry] : registrations) {
        order.emplace_back(XXH3_64bits(address.data(), address.size()), address);
    }
    std::sort(order.begin(), order.end());
    order.resize(std::min(order.size(), max_leader_candidates));
    std::vector<std::string> candidates;
    candidates.reserve(order.size());
    for (auto& [hash, address] : order) {
        candidates.push_back(std::move(address));
    }
    return candidates;
}

} // namespace daemons
