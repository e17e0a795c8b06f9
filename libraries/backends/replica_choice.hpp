#pragma once

#include <backends/read_requirements.hpp>
#include <backends/replica_candidate.hpp>
#include <base/clock.hpp>
#include <base/immutable.hpp>

#include <compare>
#include <cstdint>
#include <span>
#include <string>

namespace backends {

/// The target of a read.
enum class read_target : std::uint8_t {
    /// The named replica.
    replica,
    /// None yet: choose again when a position or a slot changes, or after `wait_`.
    wait,
    primary,
};

/// The target of one read, or how long it waits for a replica.
struct replica_choice_fields {
    read_target target_ = read_target::primary;
    /// Set if the target is a replica.
    std::string name_;
    /// Set if the read waits; at most the wait that its requirements allow.
    base::clock::duration wait_{0};

    friend auto operator<=>(const replica_choice_fields&, const replica_choice_fields&) = default;
    friend bool operator==(const replica_choice_fields&, const replica_choice_fields&) = default;
};

using replica_choice = base::immutable<replica_choice_fields>;

/// Returns whether a replica may serve the read now: it is reachable and not leaving, its last entry is of
/// the current term, it has reached the session's position and its data is within the declared staleness.
[[nodiscard]] bool may_serve(const replica_candidate& candidate, const read_requirements& requirements,
                             base::clock::time_point now);

/// Chooses a database for a read. Of the replicas that may serve it and have a free slot, the one with the
/// smallest fraction of its slots in use is chosen; `random` breaks ties. Precondition: the read has a
/// session token or is outside any session; a read of a session without a token must go to the primary.
/// Complexity: linear in the candidates.
[[nodiscard]] replica_choice choose_replica(std::span<const replica_candidate> candidates,
                                            const read_requirements& requirements,
                                            base::clock::time_point now, std::uint64_t random);

} // namespace backends
