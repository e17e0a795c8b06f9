#pragma once

#include <http/wait_signal.hpp>
#include <stand_ins/database/database_settings.hpp>
#include <stand_ins/database/database_state.hpp>
#include <stand_ins/database/faults.hpp>
#include <stand_ins/database/journal.hpp>

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <vector>

namespace stand_ins::database {

/// The number of no connection: connections that this process opens do not go silent.
inline constexpr std::size_t no_connection = std::numeric_limits<std::size_t>::max();

/// The running database: its state, its journal and its staged faults, shared by the server and the
/// replication clients. Thread safety: used by one thread.
class database_node {
public:
    /// Opens the journal when `journal_path` is not empty. Errors: `settings_invalid`.
    [[nodiscard]] static base::result<database_node> open(database_settings settings,
                                                          const std::string& journal_path);

    [[nodiscard]] const database_settings& settings() const noexcept { return settings_; }
    [[nodiscard]] const database_state& state() const noexcept { return state_; }

    /// Makes changes durable, applies them and wakes who waits for them.
    /// Throws `std::runtime_error` when the journal cannot be written; the request then gets no answer.
    void commit(const state_changes& changes);

    /// Returns the index of the last entry that was appended at `moment` or earlier.
    [[nodiscard]] std::uint64_t last_index_at(base::clock::time_point moment) const;
    /// Returns when the entry at an index was appended in this process.
    [[nodiscard]] base::clock::time_point appended_at(std::uint64_t index) const;

    /// Returns the address of a peer that is called by its name, and any other text unchanged.
    [[nodiscard]] std::string address_of(const std::string& peer) const;

    [[nodiscard]] const faults& present_faults() const noexcept { return faults_; }
    void set_faults(faults changed);
    /// Returns once a message of `peer` on a connection may arrive; never for a silent connection.
    [[nodiscard]] boost::asio::awaitable<void> wait_for_incoming(std::string peer, std::size_t connection);
    /// Returns once a message to `peer` on a connection may leave; never for a silent connection.
    [[nodiscard]] boost::asio::awaitable<void> wait_for_outgoing(std::string peer, std::size_t connection);
    /// Returns once the database is not frozen.
    [[nodiscard]] boost::asio::awaitable<void> wait_for_thaw();

    [[nodiscard]] base::clock::duration lag() const noexcept { return lag_; }
    void set_lag(base::clock::duration lag) noexcept { lag_ = lag; }

    /// Returns since when the database is leaving.
    [[nodiscard]] const std::optional<base::clock::time_point>& leaving_since() const noexcept {
        return leaving_since_;
    }
    void leave();

    /// Notified when the log, the term or the leaving state changes.
    [[nodiscard]] http::wait_signal& changed() noexcept { return changed_; }

private:
    database_node(database_settings settings, database_state state, journal kept);

    database_settings settings_;
    database_state state_;
    journal journal_;
    std::vector<base::clock::time_point> appended_at_;
    faults faults_;
    base::clock::duration lag_;
    std::optional<base::clock::time_point> leaving_since_;
    http::wait_signal changed_;
    http::wait_signal faults_changed_;
};

} // namespace stand_ins::database
