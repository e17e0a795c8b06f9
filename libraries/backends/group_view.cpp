#include <backends/group_view.hpp>

#include <algorithm>
#include <functional>

namespace backends {

namespace {

template <typename Databases>
auto* find_in(Databases& databases, std::string_view name) noexcept {
    const auto found = std::find_if(databases.begin(), databases.end(),
                                    [name](const auto& candidate) { return candidate.name_ == name; });
    return found == databases.end() ? nullptr : &*found;
}

} // namespace

group_view group_view::of(std::vector<std::string> names) {
    group_view created;
    created.databases_.reserve(names.size());
    for (auto& name : names) {
        created.databases_.push_back({.name_ = std::move(name)});
    }
    return created;
}

group_view group_view::record_status(const database_status& status, base::clock::time_point requested_at,
                                     base::clock::time_point heard_at) const {
    group_view changed = *this;
    auto* known = find_in(changed.databases_, status->database_);
    if (known == nullptr) {
        return changed;
    }
    if (!known->status_) {
        known->status_ = status;
    } else if (requested_at >= known->requested_at_) {
        known->status_ = merge(*known->status_, status);
    } else {
        known->status_ = merge(status, *known->status_);
    }
    known->requested_at_ = std::max(known->requested_at_, requested_at);
    known->heard_at_ = std::max(known->heard_at_, heard_at);
    known->reachability_ = reachability::reachable;
    changed.learn_primary(status);
    changed.advance_committed();
    return changed;
}

group_view group_view::with_entry(std::string_view database, base::log_position position) const {
    group_view changed = *this;
    auto* known = find_in(changed.databases_, database);
    if (known != nullptr && known->status_ && (*known->status_)->term_ == position.term()) {
        known->status_ = known->status_->with(
            [position](database_status_fields& fields) { fields.last_ = std::max(fields.last_, position); });
        changed.advance_committed();
    }
    return changed;
}

group_view group_view::with_reachability(std::string_view database, reachability found) const {
    group_view changed = *this;
    if (auto* known = find_in(changed.databases_, database); known != nullptr) {
        known->reachability_ = found;
    }
    return changed;
}

std::uint64_t group_view::greatest_term() const noexcept {
    std::uint64_t greatest = term_;
    for (const auto& database : databases_) {
        greatest = database.status_ ? std::max(greatest, (*database.status_)->term_) : greatest;
    }
    return greatest;
}

std::optional<std::string> group_view::primary() const {
    const auto beyond = std::count_if(databases_.begin(), databases_.end(), [this](const auto& database) {
        return database.status_ && (*database.status_)->term_ > term_;
    });
    if (static_cast<std::size_t>(beyond) >= majority()) {
        return std::nullopt;
    }
    for (const auto& database : databases_) {
        if (database.status_ && (*database.status_)->term_ == term_ &&
            (*database.status_)->role_ == base::database_role::primary) {
            return database.name_;
        }
    }
    return std::nullopt;
}

bool group_view::is_committed(base::log_position position) const noexcept {
    return committed_ && position.term() == term_ && position <= *committed_;
}

const known_database* group_view::find(std::string_view database) const noexcept {
    return find_in(databases_, database);
}

void group_view::learn_primary(const database_status& status) {
    if (status->role_ == base::database_role::primary && status->term_ > term_) {
        term_ = status->term_;
        committed_.reset();
    }
}

void group_view::advance_committed() {
    std::vector<base::log_position> held;
    for (const auto& database : databases_) {
        if (database.status_ && holds(*database.status_, base::log_position{term_, 0})) {
            held.push_back((*database.status_)->last_);
        }
    }
    if (term_ == 0 || held.size() < majority()) {
        return;
    }
    std::sort(held.begin(), held.end(), std::greater<>{});
    const auto by_majority = held[majority() - 1];
    committed_ = committed_ ? std::max(*committed_, by_majority) : by_majority;
}

} // namespace backends
