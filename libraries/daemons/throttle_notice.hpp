#pragma once

#include <base/clock.hpp>
#include <base/immutable.hpp>
#include <base/response.hpp>

#include <compare>
#include <cstdint>
#include <string>

namespace daemons {

/// What the home of a database group tells entry daemons about one rank.
struct throttle_notice_fields {
    std::string group_;
    std::string rank_;
    /// Which requests are meant: those that need the primary, or reads that a replica may serve. Each kind
    /// has its own queue, so that a flood of writes leaves the replicas in use.
    base::database_role role_ = base::database_role::primary;
    /// Part of the requests to admit: 100 admits everything, 0 nothing.
    std::uint32_t percent_ = 100;
    /// How long the notice holds after it arrived. Relative, because the clocks of two hosts differ.
    base::clock::duration valid_for_{0};

    friend auto operator<=>(const throttle_notice_fields&, const throttle_notice_fields&) = default;
    friend bool operator==(const throttle_notice_fields&, const throttle_notice_fields&) = default;
};

using throttle_notice = base::immutable<throttle_notice_fields>;

} // namespace daemons
