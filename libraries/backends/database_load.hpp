#pragma once

#include <backends/service_view.hpp>
#include <base/clock.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace backends {

/// The state of one database as a daemon observes it when it places a statement.
struct database_load {
    std::string id_;
    bool is_primary_ = false;
    /// Whether the database may run the statement.
    bool is_eligible_ = false;
    bool is_same_failure_domain_ = false;
    /// Whether a connection is idle.
    bool has_idle_connection_ = false;
    /// Whether another connection may be opened.
    bool may_open_ = false;
    /// Connections that are open or being opened.
    std::uint32_t connections_ = 0;
    /// Statements of this daemon that are in flight there.
    std::uint32_t running_ = 0;
    /// Maximum number of statements of this daemon that may be in flight there.
    std::uint32_t max_running_ = 1;
    /// Expected cost of a statement there, positive (`load_estimate::cost`).
    double cost_ = 1;
    /// When it is the database's turn in the spread of this daemon's statements (`turns_after`).
    double turn_ = 0;

    friend auto operator<=>(const database_load&, const database_load&) = default;
};

/// The database that a statement is sent to, and the one to connect to.
struct placement_choice {
    /// Index of the database whose idle connection to use; empty while there is none.
    std::optional<std::size_t> run_index_;
    /// Index of a database to which a connection should be opened, for this statement or later ones.
    std::optional<std::size_t> connect_index_;
    /// Whether no database is eligible, so that waiting for a slot does not help.
    bool has_no_candidate_ = false;

    friend auto operator<=>(const placement_choice&, const placement_choice&) = default;
};

/// From this ratio of costs on, another connection (12 ms and a slot of the database) is worthwhile. The
/// scatter of few observations reaches a ratio of 2: with that, daemons opened a tenth more connections.
inline constexpr double costly_ratio = 3;

/// Chooses a database for a statement. Replicas are preferred to the primary, which is reserved for
/// statements that require it and serves others only while all replicas are busy and it has a spare slot.
/// Replicas take turns: the lower a replica's cost, the more often, and none is left out for good. One in
/// this failure domain gets four of five turns while it is not the slower one. Statements in flight postpone
/// a turn.
///
/// Weights rather than the best estimate, because all daemons learn the same at the same moment: if each
/// followed the best, they would overload it together. Preconditions: costs are positive.
[[nodiscard]] placement_choice choose_database(const std::vector<database_load>& databases);

/// Returns the turns of all databases after a statement was sent to the one at `chosen`. Preconditions: as
/// for `choose_database`; `chosen` is the index of an eligible replica.
[[nodiscard]] std::vector<double> turns_after(const std::vector<database_load>& databases,
                                              std::size_t chosen);

} // namespace backends
