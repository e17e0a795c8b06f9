#pragma once

#include <base/clock.hpp>
#include <base/immutable.hpp>
#include <base/log_position.hpp>
#include <stand_ins/database/statements.hpp>

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace stand_ins::database {

/// The fields that the requests of the database interface have; each path uses some of them.
struct database_request_fields {
    /// The request's `id` as JSON text, repeated in the answer.
    std::string id_ = "null";
    std::uint64_t term_ = 0;
    std::string proposer_;
    access_kind access_ = access_kind::read;
    std::vector<std::string> statements_;
    std::string key_;
    std::string fingerprint_;
    base::log_position minimum_;
    /// The position that a status long poll waits to see passed, and how long it waits.
    std::optional<base::log_position> beyond_;
    base::clock::duration wait_{0};

    friend auto operator<=>(const database_request_fields&, const database_request_fields&) = default;
    friend bool operator==(const database_request_fields&, const database_request_fields&) = default;
};

using database_request = base::immutable<database_request_fields>;

} // namespace stand_ins::database
