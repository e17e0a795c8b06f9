#pragma once

#include <base/clock.hpp>
#include <base/endpoint.hpp>
#include <base/immutable.hpp>

#include <compare>
#include <cstdint>
#include <string>

namespace backends {

/// Whether a database accepts statements or is being drained.
enum class listed_state : std::uint8_t { ready, draining };

/// The role that a database reports for itself.
enum class listed_role : std::uint8_t { primary, replica };

/// A database's entry in the server list, as the database describes itself.
struct database_listing_fields {
    std::string id_;
    std::string service_;
    base::endpoint address_;
    std::string failure_domain_;
    std::uint32_t slots_ = 1;
    listed_state state_ = listed_state::ready;
    listed_role role_ = listed_role::replica;
    /// When the database started, in Unix milliseconds; changes when a database restarts under the same id.
    std::int64_t started_at_ = 0;
    /// The remaining warm-up time, during which the database is slow.
    base::clock::duration warm_up_left_{0};

    friend auto operator<=>(const database_listing_fields&, const database_listing_fields&) = default;
    friend bool operator==(const database_listing_fields&, const database_listing_fields&) = default;
};

using database_listing = base::immutable<database_listing_fields>;

} // namespace backends
