#pragma once

#include <base/endpoint.hpp>
#include <base/immutable.hpp>

#include <compare>
#include <cstdint>
#include <string>

namespace daemons {

/// Asks another daemon whether it can reach a primary that the sender cannot reach.
struct suspicion_check_fields {
    std::string group_;
    base::endpoint database_;
    /// The term in which the sender knows the database as primary.
    std::uint64_t term_ = 0;

    friend auto operator<=>(const suspicion_check_fields&, const suspicion_check_fields&) = default;
    friend bool operator==(const suspicion_check_fields&, const suspicion_check_fields&) = default;
};

using suspicion_check = base::immutable<suspicion_check_fields>;

/// The other daemon's finding.
enum class reachability : std::uint8_t { unreachable, reachable };

} // namespace daemons
