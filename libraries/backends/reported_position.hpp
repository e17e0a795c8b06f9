#pragma once

#include <base/clock.hpp>
#include <base/log_position.hpp>

#include <compare>

namespace backends {

/// A log position of a database, dated by the request to which it responded: the database may have been
/// anywhere beyond it by the time the response was read. Thread safety: immutable value.
struct reported_position {
    base::log_position position_;
    base::clock::time_point requested_at_{};

    friend auto operator<=>(const reported_position&, const reported_position&) = default;
};

} // namespace backends
