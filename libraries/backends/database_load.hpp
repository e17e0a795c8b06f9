#pragma once

#include <backends/service_view.hpp>
#include <base/clock.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace backends {

/// What a daemon sees of one database when it places a statement.
struct database_load {
    std::string id_;
    bool is_primary_ = false;
    /// Whether it may run the statement at all.
    bool is_eligible_ = false;
    bool is_same_failure_domain_ = false;
    /// Whether a connection is idle.
    bool has_idle_connection_ = false;
    /// Whether another connection may be opened.
    bool may_open_ = false;
    /// Connections that are open or being opened.
    std::uint32_t connections_ = 0;
    /// Statements of this daemon that are under way there.
    std::uint32_t running_ = 0;
    /// Statements that this daemon keeps under way there at most.
    std::uint32_t max_running_ = 1;

    friend auto operator<=>(const database_load&, const database_load&) = default;
};

/// Where a statement goes now.
struct placement_choice {
    /// Index of the database with an idle connection to use; nothing while there is none.
    std::optional<std::size_t> run_at_;
    /// Index of a database to which a connection should be opened, for this statement or the next ones.
    std::optional<std::size_t> open_at_;
    /// Whether no database is eligible, so that waiting for a slot does not help.
    bool has_none_ = false;

    friend auto operator<=>(const placement_choice&, const placement_choice&) = default;
};

/// Chooses a database for a statement. Replicas go before the primary, which is kept for work that needs it
/// and helps out while all replicas are busy and it has a slot to spare. Among replicas the one with the
/// fewest statements under way is chosen, then the one in this failure domain.
[[nodiscard]] placement_choice choose_database(const std::vector<database_load>& databases);

} // namespace backends
