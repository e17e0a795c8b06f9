#pragma once

#include <algorithm>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace operators {

/// What the configuration grants to one tenant. Its API keys are in `session_routes`.
struct tenant_limits {
    /// Names the tenant to databases. Not empty; contains neither a blank nor a control character.
    std::string name_;
    /// 0 is the most urgent.
    std::uint32_t priority_ = 0;
    /// Operations per second over all daemons; empty if they are not limited.
    std::optional<double> rate_;
    /// Operations that may run at once beyond the rate, over all daemons.
    double burst_ = 0;

    /// Returns the tenant's part of a capacity that does not suffice for all tenants, relative to those of
    /// the others: in proportion to its limit, and smaller with each step of priority.
    [[nodiscard]] double weight() const noexcept {
        return std::max(rate_.value_or(1), 1.0) / (1 + static_cast<double>(priority_));
    }

    friend auto operator<=>(const tenant_limits&, const tenant_limits&) = default;
};

} // namespace operators
