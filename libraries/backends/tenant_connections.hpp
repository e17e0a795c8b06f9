#pragma once

#include <backends/connection_share.hpp>
#include <backends/database_load.hpp>
#include <base/clock.hpp>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace backends {

/// How often the tenants use the connections of one daemon to one database. A use is a statement or a
/// transaction. Older uses count less. Thread safety: immutable value.
class tenant_activity {
public:
    /// Returns `before` with one more use. Precondition: `tenant` is not empty.
    [[nodiscard]] static tenant_activity record_use(tenant_activity before, std::string_view tenant,
                                                    base::clock::time_point now);
    /// Returns `before` with the uses of `tenant` in `other` added.
    [[nodiscard]] static tenant_activity add_uses(tenant_activity before, const tenant_activity& other,
                                                  std::string_view tenant);
    /// Returns `before` without a tenant.
    [[nodiscard]] static tenant_activity remove(tenant_activity before, std::string_view tenant);
    /// Returns `before` without tenants whose last use was several minutes ago.
    [[nodiscard]] static tenant_activity remove_expired(tenant_activity before, base::clock::time_point now);

    /// Returns the uses per second of a tenant, zero for an unknown one.
    [[nodiscard]] double rate_of(std::string_view tenant, base::clock::time_point now) const noexcept;
    /// Returns whether no tenant has used the database in the last minutes.
    [[nodiscard]] bool is_empty() const noexcept { return entries_.empty(); }

    friend auto operator<=>(const tenant_activity&, const tenant_activity&) = default;
    friend bool operator==(const tenant_activity&, const tenant_activity&) = default;

private:
    struct entry {
        std::string tenant_;
        /// Number of uses, weighted by their age at `last_use_`.
        double uses_ = 0;
        base::clock::time_point last_use_{};

        friend auto operator<=>(const entry&, const entry&) = default;
    };

    /// Ordered by tenant.
    std::vector<entry> entries_;
};

/// An idle connection and the tenant that it belongs to.
struct idle_tenant_connection {
    std::string tenant_;
    base::clock::time_point idle_since_{};
    /// Whether no statement has run on it yet. It was opened for a statement that may still wait for it.
    bool is_unused_ = false;

    friend auto operator<=>(const idle_tenant_connection&, const idle_tenant_connection&) = default;
};

/// The connections of one daemon to one database.
struct tenant_connection_state {
    std::vector<idle_tenant_connection> idle_;
    /// Connections that are idle, in use or being opened.
    std::uint32_t open_ = 0;
    /// How many connections this daemon keeps open while the database does not refuse any.
    std::uint32_t kept_ = 1;

    friend auto operator<=>(const tenant_connection_state&, const tenant_connection_state&) = default;
};

/// How a tenant without an idle connection gets one.
enum class tenant_opening : std::uint8_t {
    /// Not now: a connection in use must be released first.
    wait,
    open,
    /// The connection that `find_replaceable` returns must be closed first.
    replace,
};

/// One database at which a tenant's statement may run.
struct tenant_candidate {
    database_load load_;
    /// Whether a connection that is opened for the tenant now would be kept after use.
    bool keeps_connection_ = false;
    /// Connections that are being opened there for the tenant.
    std::uint32_t opening_ = 0;
    /// Whether a connection of the tenant is in use there.
    bool is_in_use_ = false;
    /// The database's `tenant_affinity`.
    double affinity_ = 0;

    friend auto operator<=>(const tenant_candidate&, const tenant_candidate&) = default;
};

/// Returns how many connections to one database a daemon keeps open for its tenants. All daemons together
/// keep 85% of `max_connections`; `seed` and `database` determine which ones keep one more than others, so
/// that the mean is not rounded. Preconditions: `max_connections` and `daemons` are positive.
[[nodiscard]] std::uint32_t kept_connections(std::uint32_t max_connections, std::uint32_t daemons,
                                             std::uint64_t seed, std::string_view database) noexcept;

/// Returns the weight of a database for a tenant in rendezvous hashing: the tenant's reads go to the database
/// with the greatest weight. `seed` differs between daemons, so that a large tenant does not load the same
/// database from all of them.
[[nodiscard]] double tenant_affinity(std::uint64_t seed, std::string_view tenant, std::string_view database,
                                     bool is_same_failure_domain) noexcept;

/// Returns whether a connection of a tenant that would use it `rate` times a second would be kept after use.
[[nodiscard]] bool keeps_connection(const tenant_connection_state& state, const tenant_activity& activity,
                                    double rate, base::clock::time_point now);

/// Decides how a tenant without an idle connection gets one. `opening` is the number of connections that are
/// already being opened for it at this database. Precondition: `tenant` is not empty.
[[nodiscard]] tenant_opening decide_opening(const tenant_connection_state& state,
                                            const connection_share& share, std::string_view tenant,
                                            std::uint32_t opening, connection_pressure pressure,
                                            base::clock::time_point now);

/// Returns the index of the idle connection to close in favour of another tenant: of those that belong to
/// others and have been used, the one that is expected to be used least.
[[nodiscard]] std::optional<std::size_t> find_replaceable(const tenant_connection_state& state,
                                                          const tenant_activity& activity,
                                                          std::string_view tenant,
                                                          base::clock::time_point now);

/// Returns the indices of the idle connections to close now, the greatest first: those beyond the number that
/// is kept that are expected to be used least, and those that were not used for long.
[[nodiscard]] std::vector<std::size_t> connections_to_close(const tenant_connection_state& state,
                                                            const connection_share& share,
                                                            const tenant_activity& activity,
                                                            base::clock::time_point now);

/// Chooses a database for a tenant's statement, as `choose_database` does for statements without a tenant. A
/// new connection is opened only if no suitable one is idle or if that relieves a database. It goes to the
/// preferred replica if it would be kept there, else to a replica that would keep it. `waiting` is the number
/// of the tenant's statements that wait for a connection to one of the eligible databases; no more
/// connections are opened at a time. While one of the tenant's connections is in use, a further one is opened
/// only under pressure.
[[nodiscard]] placement_choice choose_tenant_database(const std::vector<tenant_candidate>& candidates,
                                                      std::size_t waiting, connection_pressure pressure);

} // namespace backends
