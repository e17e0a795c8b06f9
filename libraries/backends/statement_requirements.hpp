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
    /// A replica whose log is fresh enough, or the primary.
    any_fresh,
};

/// What a statement or transaction needs of a database connection.
struct statement_requirements {
    placement placement_ = placement::primary_only;
    /// For `any_fresh`: how old the data may be.
    base::clock::duration staleness_{0};
    /// For `any_fresh`: the session's last commit, if reads have to see it.
    std::optional<base::log_position> own_commit_;
    /// 0 is the most urgent.
    std::uint32_t priority_ = 0;
    base::clock::duration objective_{0};
    base::clock::time_point deadline_{};
    /// Databases that refused this statement already.
    std::set<std::string> excluded_;

    friend auto operator<=>(const statement_requirements&, const statement_requirements&) = default;
};

} // namespace backends
