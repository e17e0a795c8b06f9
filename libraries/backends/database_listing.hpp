#pragma once

#include <base/clock.hpp>
#include <base/endpoint.hpp>
#include <base/immutable.hpp>

#include <compare>
#include <cstdint>
#include <string>

namespace backends {

/// Whether a database takes work or is about to leave.
enum class listed_state : std::uint8_t { ready, draining };

/// How a database sees itself.
enum class listed_role : std::uint8_t { primary, replica };

/// A database as it describes itself in the server list.
struct database_listing_fields {
    std::string id_;
    std::string service_;
    base::endpoint address_;
    std::string failure_domain_;
    std::uint32_t slots_ = 1;
    listed_state state_ = listed_state::ready;
    listed_role role_ = listed_role::replica;
    /// Unix milliseconds of its start; tells a database that started again under its id.
    std::int64_t started_at_ = 0;
    /// How much longer it remains slow after its start.
    base::clock::duration warm_up_left_{0};

    friend auto operator<=>(const database_listing_fields&, const database_listing_fields&) = default;
    friend bool operator==(const database_listing_fields&, const database_listing_fields&) = default;
};

using database_listing = base::immutable<database_listing_fields>;

} // namespace backends
