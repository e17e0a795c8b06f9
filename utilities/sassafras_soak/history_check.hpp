#pragma once

#include <base/clock.hpp>
#include <stand_ins/session_platform/line_database.hpp>
#include <utilities/sassafras_soak/operation_record.hpp>

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace soak {

/// A database that began to lead.
struct promotion_record {
    std::uint64_t term_ = 0;
    base::clock::time_point effective_at_{};

    friend auto operator<=>(const promotion_record&, const promotion_record&) = default;
};

/// What the databases of one service hold at the end of a run.
struct service_log {
    /// The log of the database that leads.
    std::vector<stand_ins::logged_write> kept_;
    std::vector<stand_ins::logged_write> rolled_back_;
    std::vector<promotion_record> promotions_;
};

/// Checks what clients saw against the logs of the databases: no acknowledged write is missing unless a
/// promotion rolled it back, none was committed at a replaced primary, none took effect twice, none that was
/// refused is kept, no read is older than its route allows or than its session's own writes. Returns a line
/// for each broken promise. Thread safety: pure.
[[nodiscard]] std::vector<std::string> check_history(const client_history& history,
                                                     const std::map<std::string, service_log>& logs);

} // namespace soak
