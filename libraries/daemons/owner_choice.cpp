#include <daemons/owner_choice.hpp>

#include <daemons/rendezvous.hpp>

#include <algorithm>
#include <span>

namespace daemons {

namespace {

// Returns the member with the greatest weight among those that satisfy `accepts`, or null.
template <typename Accepts>
const member* heaviest(std::span<const member> members, std::string_view group, Accepts accepts) {
    const member* best = nullptr;
    std::uint64_t best_weight = 0;
    for (const auto& candidate : members) {
        if (!accepts(candidate)) {
            continue;
        }
        const auto weight = rendezvous_weight(group, candidate->name_);
        if (best == nullptr || weight > best_weight) {
            best = &candidate;
            best_weight = weight;
        }
    }
    return best;
}

} // namespace

std::optional<owner_choice> choose_owner(const member_list& members, std::string_view region,
                                         std::string_view group) {
    auto candidates = members.serving_in(region);
    if (candidates.empty()) {
        candidates = members.serving();
    }
    const auto* owner = heaviest(candidates, group, [](const member&) { return true; });
    if (owner == nullptr) {
        return std::nullopt;
    }
    const auto* standby = heaviest(candidates, group, [owner](const member& candidate) {
        return candidate->failure_domain_ != (*owner)->failure_domain_;
    });
    if (standby == nullptr) {
        standby = heaviest(candidates, group,
                           [owner](const member& candidate) { return candidate->name_ != (*owner)->name_; });
    }
    return owner_choice{*owner, standby == nullptr ? std::nullopt : std::optional{*standby}};
}

} // namespace daemons
