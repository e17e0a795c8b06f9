#pragma once

#include <cstddef>
#include <map>
#include <string>

namespace backends {

/// The share of a tenant in the order of waiting statements, and what one statement is expected to cost.
struct tenant_share {
    /// Names the tenant; empty where the configuration has none.
    std::string tenant_;
    /// Its part of the capacity relative to the weights of the other tenants. Positive.
    double weight_ = 1;
    /// Expected duration of the statement at a database, in milliseconds. Not negative.
    double cost_ms_ = 1;

    friend auto operator<=>(const tenant_share&, const tenant_share&) = default;
};

/// Orders the statements of one priority so that capacity is divided between tenants by weight and cost
/// (start-time fair queueing).
///
/// Designed for one tenant, inside its limit, that sends far more than the others while statements wait: its
/// statements queue behind its own earlier ones, and those of other tenants go first. Capacity that a tenant
/// does not use goes to the others, and a tenant saves up nothing while it is idle. Without tenants the order
/// is that of arrival. Thread safety: not thread-safe; owned by the thread of its service.
class fair_order {
public:
    /// Returns the tag of an arriving statement. Statements start in the order of their tags, and in order of
    /// arrival where tags are equal.
    [[nodiscard]] double arrive(const tenant_share& share);

    /// Takes back the cost of a statement that is refused and does not run.
    void withdraw(const tenant_share& share);

    /// Records that the statement with this tag has started.
    void start(double tag);

    /// Returns the number of tenants whose recent use still delays their next statement.
    [[nodiscard]] std::size_t tracked_tenants() const noexcept { return next_tags_.size(); }

private:
    void forget_idle_tenants();

    /// The tag of the statement that started last.
    double started_tag_ = 0;
    /// The earliest tag of each tenant's next statement, where that is later than `started_tag_`.
    std::map<std::string, double, std::less<>> next_tags_;
};

} // namespace backends
