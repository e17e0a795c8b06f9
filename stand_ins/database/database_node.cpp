#include <stand_ins/database/database_node.hpp>

#include <algorithm>
#include <stdexcept>

namespace stand_ins::database {

namespace asio = boost::asio;

base::result<database_node> database_node::open(database_settings settings, const std::string& journal_path) {
    database_state state;
    journal kept;
    if (!journal_path.empty()) {
        auto opened = journal::open(journal_path, state);
        if (!opened) {
            return opened.last_reason();
        }
        kept = std::move(*opened);
    }
    return database_node{std::move(settings), std::move(state), std::move(kept)};
}

database_node::database_node(database_settings settings, database_state state, journal kept)
    : settings_{std::move(settings)}, state_{std::move(state)}, journal_{std::move(kept)},
      appended_at_(state_.entries().size(), base::clock::now()), lag_{settings_.replication_lag_} {}

void database_node::commit(const state_changes& changes) {
    if (changes.empty()) {
        return;
    }
    if (!journal_.write(changes)) {
        throw std::runtime_error{"the journal cannot be written"};
    }
    for (const auto& change : changes) {
        state_.apply(change);
        appended_at_.resize(state_.entries().size(), base::clock::now());
    }
    changed_.notify_all();
}

std::uint64_t database_node::last_index_at(base::clock::time_point moment) const {
    const auto later = std::upper_bound(appended_at_.begin(), appended_at_.end(), moment);
    return static_cast<std::uint64_t>(later - appended_at_.begin());
}

base::clock::time_point database_node::appended_at(std::uint64_t index) const {
    return appended_at_.at(index - 1);
}

std::string database_node::address_of(const std::string& peer) const {
    const auto found = settings_.peers_.find(peer);
    return found == settings_.peers_.end() ? peer : found->second.to_string();
}

void database_node::set_faults(faults changed) {
    faults_ = std::move(changed);
    faults_changed_.notify_all();
}

asio::awaitable<void> database_node::wait_for_incoming(std::string peer, std::size_t connection) {
    while (faults_.is_silent(connection) || faults_.holds_incoming(peer)) {
        co_await faults_changed_.wait();
    }
}

asio::awaitable<void> database_node::wait_for_outgoing(std::string peer, std::size_t connection) {
    while (faults_.is_silent(connection) || faults_.holds_outgoing(peer)) {
        co_await faults_changed_.wait();
    }
}

asio::awaitable<void> database_node::wait_for_thaw() {
    while (faults_.is_frozen()) {
        co_await faults_changed_.wait();
    }
}

void database_node::leave() {
    if (!leaving_since_) {
        leaving_since_ = base::clock::now();
        changed_.notify_all();
    }
}

} // namespace stand_ins::database
