#pragma once

#include <daemons/takeover_record.hpp>

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace daemons {

/// Number of daemons that acquire a free leadership before any other daemon does.
inline constexpr std::size_t max_leader_candidates = 5;

/// Returns the addresses of the daemons that are to become the leader, in the order of their precedence,
/// which all daemons with the same list of registered daemons agree on. A restart does not change the order.
///
/// While the store is unreachable, a daemon has to hear from every daemon that may have begun a takeover.
/// With few candidates this does not depend on the size of the fleet, and one daemon that is gone for good
/// rarely matters. Thread safety: pure function.
[[nodiscard]] std::vector<std::string>
leader_candidates(const std::map<std::string, registration>& registrations);

} // namespace daemons
