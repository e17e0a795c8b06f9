#pragma once

#include <base/clock.hpp>
#include <base/immutable.hpp>
#include <base/log_position.hpp>

#include <compare>
#include <cstdint>

namespace backends {

/// What a read needs of the database that serves it.
struct read_requirements_fields {
    /// The current term of the group.
    std::uint64_t term_ = 0;
    /// The position of the session's token; the default for a read outside any session.
    base::log_position minimum_;
    /// The declared staleness of the read class. Zero means that only the primary will do.
    base::clock::duration staleness_{0};
    /// How long the read may still wait for a replica.
    base::clock::duration wait_left_{0};

    friend auto operator<=>(const read_requirements_fields&, const read_requirements_fields&) = default;
    friend bool operator==(const read_requirements_fields&, const read_requirements_fields&) = default;
};

using read_requirements = base::immutable<read_requirements_fields>;

} // namespace backends
