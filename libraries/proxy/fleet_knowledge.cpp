#include <proxy/fleet_knowledge.hpp>

#include <daemons/fleet_message.hpp>
#include <daemons/leader_candidates.hpp>

#include <algorithm>
#include <set>
#include <utility>

namespace proxy {

void fleet_knowledge::set_databases(const std::vector<backends::database_listing>& databases,
                                    base::clock::time_point now) {
    std::set<std::string> listed;
    for (const auto& listing : databases) {
        listed.insert(listing->id_);
        update_database(listing);
    }
    for (const auto& [id, known] : databases_) {
        if (!listed.contains(id)) {
            mark_vanished(id, now);
        }
    }
}

void fleet_knowledge::update_database(backends::database_listing database) {
    auto id = database->id_;
    databases_.insert_or_assign(std::move(id), listed_database{std::move(database), std::nullopt});
}

void fleet_knowledge::mark_vanished(const std::string& id, base::clock::time_point now) {
    const auto found = databases_.find(id);
    if (found != databases_.end() && !found->second.vanished_at_) {
        found->second.vanished_at_ = now;
    }
}

bool fleet_knowledge::remove_vanished(base::clock::duration grace, base::clock::time_point now) {
    return std::erase_if(databases_, [grace, now](const auto& entry) {
               const auto& since = entry.second.vanished_at_;
               return since && now - *since >= grace;
           }) > 0;
}

bool fleet_knowledge::adopt(const daemons::takeover_record& record) {
    const auto found = records_.find(record->service_);
    if (found != records_.end() && !record->revision_.is_later_than(found->second->revision_)) {
        return false;
    }
    records_.insert_or_assign(record->service_, record);
    return true;
}

void fleet_knowledge::replace_records(const std::vector<daemons::takeover_record>& confirmed,
                                      base::store_era era) {
    std::erase_if(records_, [era](const auto& entry) { return entry.second->revision_.era() != era; });
    for (const auto& record : confirmed) {
        adopt(record);
    }
}

std::optional<daemons::takeover_record> fleet_knowledge::record_of(const std::string& service) const {
    const auto found = records_.find(service);
    return found == records_.end() ? std::nullopt : std::optional{found->second};
}

std::vector<daemons::takeover_record> fleet_knowledge::records() const {
    std::vector<daemons::takeover_record> all;
    for (const auto& [service, record] : records_) {
        all.push_back(record);
    }
    return all;
}

std::vector<backends::database_listing> fleet_knowledge::databases_of(const std::string& service) const {
    std::vector<backends::database_listing> found;
    for (const auto& [id, known] : databases_) {
        if (known.listing_->service_ == service) {
            found.push_back(known.listing_);
        }
    }
    return found;
}

std::optional<backends::database_listing> fleet_knowledge::find_database(const std::string& id) const {
    const auto found = databases_.find(id);
    return found == databases_.end() ? std::nullopt : std::optional{found->second.listing_};
}

std::optional<base::clock::time_point> fleet_knowledge::vanished_since(const std::string& id) const {
    const auto found = databases_.find(id);
    return found == databases_.end() ? std::nullopt : found->second.vanished_at_;
}

void fleet_knowledge::set_daemons(std::map<std::string, daemons::registration> registrations,
                                  std::string leader, base::store_revision leader_revision) {
    registrations_ = std::move(registrations);
    leader_candidates_ = daemons::leader_candidates(registrations_);
    leader_ = std::move(leader);
    leader_revision_ = leader_revision;
}

std::vector<std::string> fleet_knowledge::possible_leaders() const {
    auto daemons = leader_candidates_;
    const bool is_listed = std::find(daemons.begin(), daemons.end(), leader_) != daemons.end();
    if (!leader_.empty() && !is_listed) {
        daemons.push_back(leader_);
    }
    return daemons;
}

daemons::possible_leaders_version fleet_knowledge::possible_leaders_version() const {
    std::vector<daemons::registration> candidates;
    for (const auto& address : leader_candidates_) {
        candidates.push_back(registrations_.at(address));
    }
    return {daemons::digest_of(candidates), leader_revision_};
}

backends::service_view fleet_knowledge::view_of(const std::string& service,
                                                std::uint32_t max_connections) const {
    backends::service_view_fields view;
    view.service_ = service;
    view.max_connections_ = max_connections;
    view.daemons_ = std::max<std::uint32_t>(static_cast<std::uint32_t>(registrations_.size()), 1);
    view.databases_ = databases_of(service);
    if (const auto record = record_of(service)) {
        const auto& fields = **record;
        const bool is_settled = fields.phase_ == daemons::takeover_phase::settled;
        view.primary_ = is_settled ? fields.chosen_ : fields.replaced_;
        view.primary_state_ =
            is_settled ? backends::primary_state::usable : backends::primary_state::being_replaced;
        return backends::service_view{std::move(view)};
    }
    // Only the leader changes a primary, so at most one database is the primary before the first record.
    const auto is_primary = [](const auto& listing) {
        return listing->role_ == backends::listed_role::primary;
    };
    const auto primary = std::find_if(view.databases_.begin(), view.databases_.end(), is_primary);
    if (std::count_if(view.databases_.begin(), view.databases_.end(), is_primary) == 1) {
        view.primary_ = (*primary)->id_;
        view.primary_state_ = backends::primary_state::usable;
    }
    return backends::service_view{std::move(view)};
}

fleet_view fleet_knowledge::view(const operators::session_routes& routes) const {
    fleet_view_fields fields;
    for (const auto& [service, limits] : routes->services_) {
        fields.services_.emplace(service, view_of(service, limits.max_connections_));
    }
    return fleet_view{std::move(fields)};
}

} // namespace proxy
