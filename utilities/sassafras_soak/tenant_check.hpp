#pragma once

#include <base/clock.hpp>
#include <stand_ins/session_platform/line_database.hpp>
#include <utilities/sassafras_soak/operation_record.hpp>

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace soak {

/// Which tenant holds a key from a version of the configuration on.
struct key_holding {
    /// Empty for none.
    std::string tenant_;
    std::uint64_t version_ = 0;
    /// When the store had the version.
    base::clock::time_point from_{};

    friend auto operator<=>(const key_holding&, const key_holding&) = default;
};

/// A time in which a daemon could not read the store or did not run.
struct lost_contact {
    std::uint32_t daemon_ = 0;
    base::clock::time_point begin_{};
    base::clock::time_point end_{};

    friend auto operator<=>(const lost_contact&, const lost_contact&) = default;
};

/// What happened to the keys in a run.
struct key_history {
    /// The holders of each key in the order of the versions.
    std::map<std::string, std::vector<key_holding>> holdings_;
    std::vector<lost_contact> lost_;
};

/// Checks under which tenants the databases ran the statements of the clients: only one that held the
/// client's key, not later than `config-apply-ms` after its withdrawal at a daemon in contact with the store,
/// and under no version older than one that the daemon had used before. A key that was held for that long is
/// not refused. Returns a line for each broken promise. Thread safety: pure.
[[nodiscard]] std::vector<std::string> check_tenants(const client_history& history, const key_history& keys,
                                                     const std::vector<stand_ins::seen_statement>& ran);

} // namespace soak
