#pragma once

#include <base/clock.hpp>
#include <base/immutable.hpp>

#include <compare>
#include <string>

namespace daemons {

/// The home of a group asks entry daemons to refuse work at the edge for a while.
struct hold_back_notice_fields {
    std::string group_;
    /// The rank to hold back; empty for every rank.
    std::string rank_;
    /// How long the notice holds from its arrival; zero ends an earlier one.
    base::clock::duration length_{0};

    friend auto operator<=>(const hold_back_notice_fields&, const hold_back_notice_fields&) = default;
    friend bool operator==(const hold_back_notice_fields&, const hold_back_notice_fields&) = default;
};

using hold_back_notice = base::immutable<hold_back_notice_fields>;

} // namespace daemons
