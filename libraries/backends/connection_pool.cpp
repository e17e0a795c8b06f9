#include <backends/connection_pool.hpp>

#include <backends/retry_delay.hpp>

#include <algorithm>

namespace backends {

using base::clock;

connection_pool::connection_pool(connection_pool_limits limits, std::uint64_t seed)
    : limits_{limits}, random_{seed} {}

connection_pool_limits connection_pool::limits_of(const operators::service_declaration& declaration) {
    connection_pool_limits_fields fields;
    fields.connections_ = declaration->connections_;
    fields.slots_ = declaration->slots_;
    return fields;
}

std::uint32_t connection_pool::usable() const noexcept {
    const auto reserved = limits_->reserved_for_control_;
    return limits_->connections_ > reserved ? limits_->connections_ - reserved : 0;
}

std::uint32_t connection_pool::most_pinned() const noexcept {
    return usable() > limits_->slots_ ? usable() - limits_->slots_ : std::min(usable(), std::uint32_t{1});
}

std::uint32_t connection_pool::free_slots() const noexcept {
    const auto running = count(connection_state::statement) + count(connection_state::transaction);
    return limits_->slots_ > running ? limits_->slots_ - running : 0;
}

void connection_pool::move_to(connection& moved, connection_state state) {
    --count(moved.state_);
    moved.state_ = state;
    ++count(state);
}

void connection_pool::forget(std::uint64_t id) {
    const auto found = connections_.find(id);
    --count(found->second.state_);
    connections_.erase(found);
}

std::vector<std::uint64_t> connection_pool::open(clock::time_point now, std::uint32_t waiting) {
    const auto connecting = count(connection_state::connecting);
    if (now < next_connect_ || connecting >= connecting_allowed_ || connections_.size() >= usable()) {
        return {};
    }
    // A database that refuses connects gets no connects ahead of demand.
    const auto spare = failures_ == 0 ? limits_->spare_ : 0;
    // Waiting requests beyond the free slots could not use a connection yet.
    const auto wanted = std::min(waiting, free_slots()) + spare;
    const auto present = connecting + count(connection_state::idle);
    if (wanted <= present) {
        return {};
    }
    const auto room = static_cast<std::uint32_t>(usable() - connections_.size());
    const auto number = std::min({wanted - present, room, connecting_allowed_ - connecting});
    std::vector<std::uint64_t> opened;
    for (std::uint32_t index = 0; index < number; ++index) {
        opened.push_back(++last_id_);
        connections_.emplace(last_id_, connection{});
        ++count(connection_state::connecting);
    }
    return opened;
}

bool connection_pool::note_connected(std::uint64_t id, clock::time_point now) {
    failures_ = 0;
    connecting_allowed_ = std::min(connecting_allowed_ * 2, std::max(limits_->most_connecting_, 1U));
    if (is_over_limit()) {
        forget(id);
        return false;
    }
    auto& made = connections_.at(id);
    move_to(made, connection_state::idle);
    made.idle_since_ = now;
    idle_.push_back(id);
    return true;
}

void connection_pool::note_connect_failed(std::uint64_t id, clock::time_point now) {
    forget(id);
    connecting_allowed_ = 1;
    // Connects that were under way together and fail together count as one failure.
    if (now >= next_connect_) {
        const auto longest = backoff_limit(limits_->first_backoff_, limits_->longest_backoff_, failures_);
        ++failures_;
        // At least half of the backoff is waited, because a connect that follows at once fails as well.
        const auto half = longest / 2;
        next_connect_ = now + half + draw_delay(longest - half, random_());
    }
}

bool connection_pool::has_room_for_transaction() const noexcept {
    return count(connection_state::transaction) + count(connection_state::paused) < most_pinned();
}

std::optional<std::uint64_t> connection_pool::acquire(connection_use use) {
    const bool pins = use == connection_use::transaction;
    if (idle_.empty() || free_slots() == 0 || (pins && !has_room_for_transaction())) {
        return std::nullopt;
    }
    const auto id = idle_.back();
    idle_.pop_back();
    move_to(connections_.at(id), pins ? connection_state::transaction : connection_state::statement);
    return id;
}

void connection_pool::pause(std::uint64_t id) {
    const auto found = connections_.find(id);
    if (found != connections_.end() && found->second.state_ == connection_state::transaction) {
        move_to(found->second, connection_state::paused);
    }
}

bool connection_pool::resume(std::uint64_t id) {
    const auto found = connections_.find(id);
    if (found == connections_.end() || found->second.state_ != connection_state::paused ||
        free_slots() == 0) {
        return false;
    }
    move_to(found->second, connection_state::transaction);
    return true;
}

bool connection_pool::release(std::uint64_t id, clock::time_point now, lease_end end) {
    const auto found = connections_.find(id);
    if (found == connections_.end() || found->second.state_ == connection_state::idle) {
        return false;
    }
    if (end == lease_end::discard || is_over_limit()) {
        forget(id);
        return false;
    }
    move_to(found->second, connection_state::idle);
    found->second.idle_since_ = now;
    idle_.push_back(id);
    return true;
}

std::vector<std::uint64_t> connection_pool::close_idle(clock::time_point now) {
    std::vector<std::uint64_t> closed;
    // The front of the list was idle for longest.
    for (const auto id : idle_) {
        const bool is_old = connections_.at(id).idle_since_ + limits_->idle_after_ <= now;
        const bool is_surplus = is_old && idle_.size() - closed.size() > limits_->spare_;
        if (!is_surplus && !is_over_limit()) {
            break;
        }
        closed.push_back(id);
        forget(id);
    }
    idle_.erase(idle_.begin(), idle_.begin() + static_cast<std::ptrdiff_t>(closed.size()));
    return closed;
}

std::optional<clock::time_point> connection_pool::next_connect(clock::time_point now) const {
    return now < next_connect_ ? std::optional{next_connect_} : std::nullopt;
}

connection_pool_counts connection_pool::counts() const {
    const auto transactions = count(connection_state::transaction) + count(connection_state::paused);
    return connection_pool_counts_fields{.connecting_ = count(connection_state::connecting),
                                         .idle_ = count(connection_state::idle),
                                         .leased_ = count(connection_state::statement) + transactions,
                                         .pinned_ = transactions,
                                         .running_ = count(connection_state::statement) +
                                                     count(connection_state::transaction)};
}

} // namespace backends
