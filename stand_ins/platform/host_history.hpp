#pragma once

#include <base/clock.hpp>

#include <compare>
#include <string>
#include <utility>
#include <vector>

namespace stand_ins::platform {

/// One host of the platform's list; the state is `live` or `leaving`.
struct host_item {
    std::string address_;
    std::string state_ = "live";

    friend auto operator<=>(const host_item&, const host_item&) = default;
};

using host_items = std::vector<host_item>;

/// The host list over time; readers see it as it was some time ago. Thread safety: used by one thread.
class host_history {
public:
    explicit host_history(host_items initial) : initial_{std::move(initial)} {}

    /// Replaces the list. Precondition: `now` does not go back.
    void set(host_items hosts, base::clock::time_point now);
    void set_lag(base::clock::duration lag) noexcept { lag_ = lag; }
    /// Returns the list that a reader sees.
    [[nodiscard]] const host_items& visible(base::clock::time_point now) const;

private:
    host_items initial_;
    std::vector<std::pair<base::clock::time_point, host_items>> changes_;
    base::clock::duration lag_{0};
};

} // namespace stand_ins::platform
