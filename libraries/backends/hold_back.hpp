#pragma once

#include <backends/hold_back_notice.hpp>
#include <backends/queue_load.hpp>
#include <operators/service_declaration.hpp>

#include <vector>

namespace backends {

/// The longest time for which one notice holds, however long the backlog.
inline constexpr base::clock::duration longest_hold_back{1'000};

/// Decides at the home what the entry daemons admit, one notice for each rank of the declaration.
///
/// Everything while the expected wait is below half of the rank's deadline, then less and less, and nothing
/// from the whole deadline on. A notice ends before half of the rank's backlog is worked off, so that the
/// rank's share of the slots stays in use. To be called about every 100 ms; a notice that admits everything
/// needs to be sent only after one that did not.
[[nodiscard]] std::vector<hold_back_notice>
decide_hold_back(const operators::service_declaration& declaration, const queue_load& load);

} // namespace backends
