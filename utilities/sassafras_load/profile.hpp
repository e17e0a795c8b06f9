#pragma once

#include <base/immutable.hpp>
#include <utilities/sassafras_load/work_class.hpp>

#include <compare>
#include <cstdint>
#include <vector>

namespace sassafras_load {

/// What a run offers: a seed for its schedule, its length, its sessions and its work.
struct profile_fields {
    std::uint64_t seed_ = 1;
    std::uint64_t seconds_ = 10;
    /// Sessions that exist from the start; more are opened while all of them wait for an answer.
    std::uint64_t sessions_ = 100;
    std::vector<work_class> work_;

    friend auto operator<=>(const profile_fields&, const profile_fields&) = default;
    friend bool operator==(const profile_fields&, const profile_fields&) = default;
};

using profile = base::immutable<profile_fields>;

} // namespace sassafras_load
