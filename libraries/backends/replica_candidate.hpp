#pragma once

#include <base/clock.hpp>
#include <base/immutable.hpp>
#include <base/log_position.hpp>

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace backends {

/// The state of one replica as the owner of the group knows it.
struct replica_candidate_fields {
    std::string name_;
    /// Position of the last log entry that the replica reported.
    base::log_position last_;
    /// Upper bound of the age of the replica's data at `measured_at_`; empty if unknown.
    std::optional<base::clock::duration> lag_;
    base::clock::time_point measured_at_{};
    std::uint32_t in_use_ = 0;
    std::uint32_t slots_ = 0;
    bool is_reachable_ = false;
    bool is_leaving_ = false;

    friend auto operator<=>(const replica_candidate_fields&, const replica_candidate_fields&) = default;
    friend bool operator==(const replica_candidate_fields&, const replica_candidate_fields&) = default;
};

using replica_candidate = base::immutable<replica_candidate_fields>;

} // namespace backends
