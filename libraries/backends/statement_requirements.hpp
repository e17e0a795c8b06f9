#pragma once

#include <base/clock.hpp>
#include <base/log_position.hpp>

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace backends {

/// Which databases may run a statement.
enum class placement : std::uint8_t {
    primary_only,
    /// A replica that has applied the required log position, or the primary.
    any_fresh,
};

/// What a statement or transaction requires of the database that runs it.
struct statement_requirements {
    placement placement_ = placement::primary_only;
    /// For `any_fresh`: the maximum age of the data.
    base::clock::duration staleness_{0};
    /// For `any_fresh`: the position of the session's last commit, if its reads must see that commit.
    std::optional<base::log_position> own_commit_;
    /// The tenant for which it runs; empty where the configuration has none. A connection serves one tenant.
    std::string tenant_;
    /// The tenant's part of a short capacity relative to those of the others. Positive.
    double tenant_weight_ = 1;
    /// 0 is the most urgent.
    std::uint32_t priority_ = 0;
    /// The latency objective.
    base::clock::duration objective_{0};
    base::clock::time_point deadline_{};
    /// Databases that are not tried again because they refused or failed this statement.
    std::set<std::string> excluded_;

    friend auto operator<=>(const statement_requirements&, const statement_requirements&) = default;
};

} // namespace backends
