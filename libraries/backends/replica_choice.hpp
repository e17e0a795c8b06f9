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

/// Where a read goes.
enum class read_target : std::uint8_t {
    /// To the named replica.
    replica,
    /// Nowhere yet: choose again when a position or a slot changes, or after `wait_`.
    wait,
    primary,
};

/// The decision for one read.
struct replica_choice_fields {
    read_target target_ = read_target::primary;
    /// Set when the target is a replica.
    std::string name_;
    /// Set when the read waits; at most what the need allows.
    base::clock::duration wait_{0};

    friend auto operator<=>(const replica_choice_fields&, const replica_choice_fields&) = default;
    friend bool operator==(const replica_choice_fields&, const replica_choice_fields&) = default;
};

using replica_choice = base::immutable<replica_choice_fields>;

/// Returns whether a replica may serve the read now: it is reachable and not leaving, its last entry is of
/// the current term, it holds the session's position and its data is within the declared staleness.
[[nodiscard]] bool may_serve(const replica_candidate& candidate, const read_requirements& need,
                             base::clock::time_point now);

/// Chooses a database for a read. Of the replicas that may serve it and have a free slot the one with the
/// smallest part of its slots in use wins; `random` decides between equals. A read of a session that has no
/// token must go to the primary without a call of this function. Complexity: linear in the candidates.
[[nodiscard]] replica_choice choose_replica(std::span<const replica_candidate> candidates,
                                            const read_requirements& need, base::clock::time_point now,
                                            std::uint64_t random);

} // namespace backends
