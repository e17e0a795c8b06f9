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
    group_view view;
    view.databases_.reserve(names.size());
    for (auto& name : names) {
        view.databases_.push_back({.name_ = std::move(name)});
    }
    return view;
}

group_view group_view::record_status(const database_status& status, base::clock::time_point requested_at,
                                     base::clock::time_point received_at) const {
    group_view result = *this;
    auto* state = find_in(result.databases_, status->database_);
    if (state == nullptr) {
        return result;
    }
    if (!state->status_) {
        state->status_ = status;
    } else if (requested_at >= state->requested_at_) {
        state->status_ = merge(*state->status_, status);
    } else {
        state->status_ = merge(status, *state->status_);
    }
    state->requested_at_ = std::max(state->requested_at_, requested_at);
    state->last_response_at_ = std::max(state->last_response_at_, received_at);
    state->reachability_ = reachability::reachable;
    result.adopt_primary(status);
    result.advance_committed();
    return result;
}

group_view group_view::record_entry(std::string_view database, base::log_position position) const {
    group_view result = *this;
    auto* state = find_in(result.databases_, database);
    if (state != nullptr && state->status_ && (*state->status_)->term_ == position.term()) {
        state->status_ = state->status_->with(
            [position](database_status_fields& fields) { fields.last_ = std::max(fields.last_, position); });
        result.advance_committed();
    }
    return result;
}

group_view group_view::record_reachability(std::string_view database, reachability found) const {
    group_view result = *this;
    if (auto* state = find_in(result.databases_, database); state != nullptr) {
        state->reachability_ = found;
    }
    return result;
}

std::uint64_t group_view::greatest_term() const noexcept {
    std::uint64_t max_term = term_;
    for (const auto& database : databases_) {
        max_term = database.status_ ? std::max(max_term, (*database.status_)->term_) : max_term;
    }
    return max_term;
}

std::optional<std::string> group_view::primary() const {
    const auto higher_count =
        std::count_if(databases_.begin(), databases_.end(), [this](const auto& database) {
            return database.status_ && (*database.status_)->term_ > term_;
        });
    if (static_cast<std::size_t>(higher_count) >= majority()) {
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

void group_view::adopt_primary(const database_status& status) {
    if (status->role_ == base::database_role::primary && status->term_ > term_) {
        term_ = status->term_;
        committed_.reset();
    }
}

void group_view::advance_committed() {
    std::vector<base::log_position> positions;
    for (const auto& database : databases_) {
        if (database.status_ && holds(*database.status_, base::log_position{term_, 0})) {
            positions.push_back((*database.status_)->last_);
        }
    }
    if (term_ == 0 || positions.size() < majority()) {
        return;
    }
    std::sort(positions.begin(), positions.end(), std::greater<>{});
    const auto majority_position = positions[majority() - 1];
    committed_ = committed_ ? std::max(*committed_, majority_position) : majority_position;
}

} // namespace backends
