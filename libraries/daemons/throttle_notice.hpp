#pragma once

#include <base/clock.hpp>
#include <base/immutable.hpp>
#include <base/response.hpp>

#include <compare>
#include <cstdint>
#include <string>

namespace daemons {

/// A notice from the owner of a database group that tells entry daemons which part of one rank's requests to
/// refuse.
struct throttle_notice_fields {
    std::string group_;
    std::string rank_;
    /// The requests it applies to: those that need the primary, or reads that a replica may serve. Each kind
    /// has its own queue, so that a flood of writes does not throttle the replicas.
    base::database_role role_ = base::database_role::primary;
    /// Percentage of the requests to admit: 100 admits all, 0 none.
    std::uint32_t percent_ = 100;
    /// How long the notice applies after its arrival. A duration, because the clocks of two hosts differ.
    base::clock::duration valid_for_{0};

    friend auto operator<=>(const throttle_notice_fields&, const throttle_notice_fields&) = default;
    friend bool operator==(const throttle_notice_fields&, const throttle_notice_fields&) = default;
};

using throttle_notice = base::immutable<throttle_notice_fields>;

} // namespace daemons
