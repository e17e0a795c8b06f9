#pragma once

#include <backends/database_listing.hpp>
#include <base/clock.hpp>
#include <daemons/takeover_record.hpp>
#include <operators/session_routes.hpp>
#include <proxy/fleet_view.hpp>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace proxy {

/// Holds what a daemon has learned from the store and its peers about databases, takeovers and daemons.
/// Thread safety: owned by the control thread. The caller passes the current time.
class fleet_knowledge {
public:
    /// Replaces the server list. Databases that are no longer listed count as vanished since `now`.
    void set_databases(const std::vector<backends::database_listing>& databases, base::clock::time_point now);
    /// Stores a new or changed entry of the server list.
    void update_database(backends::database_listing database);
    /// Records that an entry was removed. Its database stays known until `remove_vanished`, because entries
    /// that expire during an outage of the store come back.
    void mark_vanished(const std::string& id, base::clock::time_point now);
    /// Removes databases whose entries have been absent for `grace`. Returns whether any was removed.
    bool remove_vanished(base::clock::duration grace, base::clock::time_point now);

    /// Stores a takeover record if it is newer than the known one. Returns whether it is.
    bool adopt(const daemons::takeover_record& record);
    /// Replaces the takeover records by those that were confirmed in a history of the store, except records
    /// that were written in this history and are newer.
    void replace_records(const std::vector<daemons::takeover_record>& confirmed, base::store_era era);
    [[nodiscard]] std::optional<daemons::takeover_record> record_of(const std::string& service) const;
    [[nodiscard]] std::vector<daemons::takeover_record> records() const;

    /// Stores the registered daemons and the leader, with the revision of the leader's key, as one read of
    /// the store shows them. `leader` is empty and the number of `leader_revision` 0 if there is none.
    void set_daemons(std::map<std::string, daemons::registration> registrations, std::string leader,
                     base::store_revision leader_revision);
    [[nodiscard]] const std::map<std::string, daemons::registration>& registrations() const noexcept {
        return registrations_;
    }
    /// Returns the daemons that are to become the leader, in the order of their precedence.
    [[nodiscard]] const std::vector<std::string>& leader_candidates() const noexcept {
        return leader_candidates_;
    }
    /// Returns the daemons that may have begun a takeover: the candidates, and the leader if it is none of
    /// them. Another daemon that becomes the leader waits until no daemon relies on an older answer to this
    /// question.
    [[nodiscard]] std::vector<std::string> possible_leaders() const;
    /// Returns the version of the possible leaders that the last read showed.
    [[nodiscard]] daemons::possible_leaders_version possible_leaders_version() const;

    [[nodiscard]] std::vector<backends::database_listing> databases_of(const std::string& service) const;
    [[nodiscard]] std::optional<backends::database_listing> find_database(const std::string& id) const;
    /// Returns since when a database's entry has been absent, or nothing while it is listed.
    [[nodiscard]] std::optional<base::clock::time_point> vanished_since(const std::string& id) const;

    /// Returns the databases of a service, its primary and whether the primary may be used. The last takeover
    /// record decides; before the first takeover, the roles in the server list do.
    [[nodiscard]] backends::service_view view_of(const std::string& service,
                                                 std::uint32_t max_connections) const;
    /// Returns the view of all services of a configuration.
    [[nodiscard]] fleet_view view(const operators::session_routes& routes) const;

private:
    struct listed_database {
        backends::database_listing listing_;
        std::optional<base::clock::time_point> vanished_at_;
    };

    std::map<std::string, listed_database> databases_;
    std::map<std::string, daemons::takeover_record> records_;
    std::map<std::string, daemons::registration> registrations_;
    std::vector<std::string> leader_candidates_;
    std::string leader_;
    base::store_revision leader_revision_;
};

} // namespace proxy
