#include <daemons/throttle_table.hpp>

#include <algorithm>
#include <map>
#include <tuple>
#include <utility>

namespace daemons {

using base::clock;

throttle_table throttle_table::with(std::span<const throttle_notice> notices, clock::time_point now) const {
    std::map<std::tuple<std::string, std::string, base::database_role>, entry> merged;
    for (const auto& present : entries_) {
        if (present.expiry_ > now) {
            merged.emplace(std::tuple{present.group_, present.rank_, present.role_}, present);
        }
    }
    for (const auto& notice : notices) {
        const auto valid_for = std::min(notice->valid_for_, max_throttle_duration);
        const std::tuple key{notice->group_, notice->rank_, notice->role_};
        if (notice->percent_ >= 100 || valid_for <= clock::duration{0}) {
            merged.erase(key);
        } else if (merged.size() < max_entries || merged.contains(key)) {
            merged.insert_or_assign(
                key, entry{notice->group_, notice->rank_, notice->role_, notice->percent_, now + valid_for});
        }
    }
    throttle_table next;
    for (auto& [key, value] : merged) {
        next.entries_.push_back(std::move(value));
    }
    return next;
}

std::optional<clock::duration> throttle_table::find_refusal(std::string_view group, std::string_view rank,
                                                            base::database_role role, clock::time_point now,
                                                            std::uint64_t random) const {
    const std::tuple key{group, rank, role};
    const auto key_of = [](const entry& present) {
        return std::tuple<std::string_view, std::string_view, base::database_role>{
            present.group_, present.rank_, present.role_};
    };
    const auto found =
        std::lower_bound(entries_.begin(), entries_.end(), key,
                         [&](const entry& present, const auto& wanted) { return key_of(present) < wanted; });
    if (found == entries_.end() || key_of(*found) != key || found->expiry_ <= now ||
        random % 100 < found->percent_) {
        return std::nullopt;
    }
    return found->expiry_ - now;
}

} // namespace daemons
