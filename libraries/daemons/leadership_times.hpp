#pragma once

#include <base/clock.hpp>

namespace daemons {

/// A leader sends no promotion request on the basis of an older read of the store.
inline constexpr base::clock::duration leadership_freshness{1'600};
/// A promotion request without a response is given up after this time.
inline constexpr base::clock::duration promotion_timeout{600};

/// How long after it has lost the leadership a daemon that knows nothing of that may have a promotion request
/// in flight.
inline constexpr base::clock::duration max_late_promotion = leadership_freshness + promotion_timeout;

} // namespace daemons
