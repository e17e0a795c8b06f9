#pragma once

#include <base/clock.hpp>
#include <base/endpoint.hpp>
#include <base/result.hpp>

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

namespace stand_ins::database {

/// What a stand-in database is started with.
struct database_settings {
    std::string name_;
    std::string group_;
    base::endpoint listen_;
    /// The other databases of the group by name.
    std::map<std::string, base::endpoint> peers_;
    /// How many requests run statements at a time.
    std::size_t slots_ = 2;
    /// How many connections may carry statements.
    std::size_t connections_ = 16;
    base::clock::duration connect_delay_{12};
    base::clock::duration statement_{2};
    /// How long a request waits for a slot before it is refused with `slots_busy`.
    base::clock::duration slot_wait_{200};
    /// How old an entry is before this database takes it from the primary.
    base::clock::duration replication_lag_{0};
    /// How long after `/control/leave` new work is still served.
    base::clock::duration leave_grace_{5'000};
};

/// Reads `name=address:port,...` and leaves out the database called `own_name`. Errors: `settings_invalid`.
[[nodiscard]] base::result<std::map<std::string, base::endpoint>> parse_peers(std::string_view text,
                                                                              std::string_view own_name);

} // namespace stand_ins::database
