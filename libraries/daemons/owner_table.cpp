#include <daemons/owner_table.hpp>

#include <daemons/owner_choice.hpp>
#include <daemons/rendezvous.hpp>

#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

namespace daemons {

namespace {

// What a choice depends on; a new state, address, incarnation or revision of a serving member changes none.
auto placing_of(const member& known) {
    return std::tuple{std::string_view{known->region_}, std::string_view{known->name_},
                      std::string_view{known->failure_domain_}};
}

// Returns the members that serve in `after` but not in `before`. Both lists are sorted by region and name.
std::vector<member> missing_in(const member_list& before, const member_list& after) {
    std::vector<member> found;
    std::ranges::set_difference(after.serving(), before.serving(), std::back_inserter(found), {}, placing_of,
                                placing_of);
    return found;
}

} // namespace

void owner_table::update(std::shared_ptr<const member_list> members) {
    if (members == members_) {
        return;
    }
    const auto gone = missing_in(*members, *members_);
    const auto come = missing_in(*members_, *members);
    members_ = std::move(members);
    if (gone.empty() && come.empty()) {
        return;
    }
    for (auto& [group, known] : entries_) {
        known.is_stale_ = known.is_stale_ || is_touched(group, known, gone, come);
    }
}

const owner_names& owner_table::find(std::string_view region, const std::string& group) {
    auto& known = entries_[group];
    known.was_asked_ = true;
    if (known.is_stale_ || known.region_ != region) {
        known.region_ = region;
        choose(group, known);
    }
    return known.names_;
}

void owner_table::remove_unused() {
    std::erase_if(entries_, [](const auto& each) { return !each.second.was_asked_; });
    for (auto& [group, known] : entries_) {
        known.was_asked_ = false;
    }
}

void owner_table::choose(const std::string& group, entry& known) {
    ++full_choices_;
    known.names_ = {};
    known.is_stale_ = false;
    known.is_makeshift_ = true;
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
        known.is_makeshift_ =
            owner->region_ != known.region_ || owner->failure_domain_ == standby->failure_domain_;
    }
}

bool owner_table::is_touched(const std::string& group, const entry& known, const std::vector<member>& gone,
                             const std::vector<member>& come) {
    if (known.is_makeshift_) {
        return true;
    }
    const auto least = std::min(known.owner_weight_, known.standby_weight_);
    return std::ranges::any_of(gone,
                               [&known](const member& each) {
                                   return each->name_ == known.names_.owner_ ||
                                          each->name_ == known.names_.standby_;
                               }) ||
           std::ranges::any_of(come, [&](const member& each) {
               // An equal weight is decided by the order of the list.
               return each->region_ == known.region_ && rendezvous_weight(group, each->name_) >= least;
           });
}

} // namespace daemons
