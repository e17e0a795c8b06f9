#pragma once

#include <base/clock.hpp>
#include <base/immutable.hpp>
#include <base/log_position.hpp>

#include <compare>
#include <cstdint>

namespace backends {

/// What a read needs of the database that serves it.
struct replica_need_fields {
    /// The current term of the group.
    std::uint64_t term_ = 0;
    /// The position of the session's token; the default for a read outside any session.
    base::log_position minimum_;
    /// The declared staleness of the read class. Zero means that only the primary will do.
    base::clock::duration staleness_{0};
    /// How long the read may still wait for a replica.
    base::clock::duration wait_left_{0};

    friend auto operator<=>(const replica_need_fields&, const replica_need_fields&) = default;
    friend bool operator==(const replica_need_fields&, const replica_need_fields&) = default;
};

using read_requirements = base::immutable<replica_need_fields>;

} // namespace backends
