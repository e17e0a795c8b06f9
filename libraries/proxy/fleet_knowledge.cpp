#include <proxy/fleet_knowledge.hpp>

#include <algorithm>
#include <set>
#include <utility>

namespace proxy {

void fleet_knowledge::set_databases(const std::vector<backends::database_listing>& databases,
                                    base::clock::time_point now) {
    std::set<std::string> listed;
    for (const auto& one : databases) {
        listed.insert(one->id_);
        note_database(one);
    }
    for (const auto& [id, known] : databases_) {
        if (!listed.contains(id)) {
            note_vanished(id, now);
        }
    }
}

void fleet_knowledge::note_database(backends::database_listing database) {
    auto id = database->id_;
    databases_.insert_or_assign(std::move(id), listed_database{std::move(database), std::nullopt});
}

void fleet_knowledge::note_vanished(const std::string& id, base::clock::time_point now) {
    const auto found = databases_.find(id);
    if (found != databases_.end() && !found->second.vanished_at_) {
        found->second.vanished_at_ = now;
    }
}

bool fleet_knowledge::forget_vanished(base::clock::duration grace, base::clock::time_point now) {
    return std::erase_if(databases_, [grace, now](const auto& entry) {
               const auto& since = entry.second.vanished_at_;
               return since && now - *since >= grace;
           }) > 0;
}

bool fleet_knowledge::adopt(const daemons::takeover_record& record) {
    const auto found = records_.find(record->service_);
    if (found != records_.end() && found->second->revision_ >= record->revision_) {
        return false;
    }
    records_.insert_or_assign(record->service_, record);
    return true;
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

daemons::registration_list_version fleet_knowledge::registration_list() const noexcept {
    daemons::registration_list_version version{registrations_.size(), 0};
    for (const auto& [address, entry] : registrations_) {
        version.newest_revision_ = std::max(version.newest_revision_, entry->revision_);
    }
    return version;
}

backends::service_view fleet_knowledge::view_of(const std::string& service,
                                                std::uint32_t most_connections) const {
    backends::service_view_fields view;
    view.service_ = service;
    view.max_connections_ = most_connections;
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
    std::size_t leaders = 0;
    for (const auto& one : view.databases_) {
        if (one->role_ == backends::listed_role::primary) {
            view.primary_ = one->id_;
            ++leaders;
        }
    }
    // Nobody but the holder of the duty changes a primary, so before its first record there is one at most.
    view.primary_state_ = leaders == 1 ? backends::primary_state::usable : backends::primary_state::unknown;
    return backends::service_view{std::move(view)};
}

fleet_view fleet_knowledge::view(const operators::session_routes& routes) const {
    fleet_view_fields fields;
    for (const auto& [service, connections] : routes->services_) {
        fields.services_.emplace(service, view_of(service, connections));
    }
    return fleet_view{std::move(fields)};
}

} // namespace proxy
