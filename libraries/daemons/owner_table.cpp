#include <daemons/owner_table.hpp>

#include <daemons/owner_choice.hpp>
#include <daemons/rendezvous.hpp>

#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

namespace daemons {

namespace {

// Returns the fields that a choice depends on. A new state, address, incarnation or revision of a serving
// member does not change a choice.
auto placement_key(const member& known) {
    return std::tuple{std::string_view{known->region_}, std::string_view{known->name_},
                      std::string_view{known->failure_domain_}};
}

// Returns the members that serve in `after` but not in `before`. Both lists are sorted by region and name.
std::vector<member> serving_difference(const member_list& before, const member_list& after) {
    std::vector<member> found;
    std::ranges::set_difference(after.serving(), before.serving(), std::back_inserter(found), {},
                                placement_key, placement_key);
    return found;
}

} // namespace

void owner_table::update(std::shared_ptr<const member_list> members) {
    if (members == members_) {
        return;
    }
    const auto removed = serving_difference(*members, *members_);
    const auto added = serving_difference(*members_, *members);
    members_ = std::move(members);
    if (removed.empty() && added.empty()) {
        return;
    }
    for (auto& [group, known] : entries_) {
        known.is_stale_ = known.is_stale_ || is_affected(group, known, removed, added);
    }
}

const owner_names& owner_table::find(std::string_view region, const std::string& group) {
    auto& known = entries_[group];
    known.was_requested_ = true;
    if (known.is_stale_ || known.region_ != region) {
        known.region_ = region;
        choose(group, known);
    }
    return known.names_;
}

void owner_table::remove_unused() {
    std::erase_if(entries_, [](const auto& each) { return !each.second.was_requested_; });
    for (auto& [group, known] : entries_) {
        known.was_requested_ = false;
    }
}

void owner_table::choose(const std::string& group, entry& known) {
    ++full_choices_;
    known.names_ = {};
    known.is_stale_ = false;
    known.is_provisional_ = true;
    const auto choice = choose_owner(*members_, known.region_, group);
    if (!choice) {
        return;
    }
    const auto& owner = choice->owner_;
    known.names_.owner_ = owner->name_;
    known.owner_weight_ = rendezvous_weight(group, owner->name_);
    if (choice->standby_) {
        const auto& standby = *choice->standby_;
        known.names_.standby_ = standby->name_;
        known.standby_weight_ = rendezvous_weight(group, standby->name_);
        known.is_provisional_ =
            owner->region_ != known.region_ || owner->failure_domain_ == standby->failure_domain_;
    }
}

bool owner_table::is_affected(const std::string& group, const entry& known,
                              const std::vector<member>& removed, const std::vector<member>& added) {
    if (known.is_provisional_) {
        return true;
    }
    const auto least = std::min(known.owner_weight_, known.standby_weight_);
    return std::ranges::any_of(removed,
                               [&known](const member& each) {
                                   return each->name_ == known.names_.owner_ ||
                                          each->name_ == known.names_.standby_;
                               }) ||
           std::ranges::any_of(added, [&](const member& each) {
               // With equal weights the order of the list decides, so an equal weight may change the choice.
               return each->region_ == known.region_ && rendezvous_weight(group, each->name_) >= least;
           });
}

} // namespace daemons
