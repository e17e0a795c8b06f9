#pragma once

#include <backends/queue_load.hpp>
#include <base/response.hpp>
#include <daemons/throttle_notice.hpp>
#include <operators/service_declaration.hpp>
#include <proxy/routing.hpp>

#include <concepts>
#include <span>
#include <vector>

namespace proxy {

/// Sends the notices of a home to the entry daemons. Must not suspend.
template <typename Announcer>
concept throttle_announcer = requires(Announcer& announcer,
                                      std::span<const daemons::throttle_notice> notices) {
    { announcer(notices) } -> std::same_as<void>;
};

/// Decides at the home what the entry daemons admit of the requests that wait in one queue, one notice for
/// each rank of the declaration. `role` says which queue it is.
///
/// Everything while the expected wait is below half of the rank's deadline, then less and less, and nothing
/// from the whole deadline on. A notice ends before half of the rank's backlog is worked off, so that the
/// rank's share of the slots stays in use. To be called about every 100 ms; a notice that admits everything
/// needs to be sent only after one that did not.
[[nodiscard]] std::vector<daemons::throttle_notice>
decide_throttling(const operators::service_declaration& declaration, base::database_role role,
                  const backends::queue_load& load);

/// Returns the notices of `present` that have to be sent: those that hold back, and those that end what
/// `previous` held back. Precondition: both are empty or of the same ranks and roles in the same order.
[[nodiscard]] std::vector<daemons::throttle_notice>
select_notices(std::span<const daemons::throttle_notice> previous,
               std::span<const daemons::throttle_notice> present);

/// Returns which queue of its home a request would wait in.
[[nodiscard]] base::database_role needed_role(const routed_request& routed) noexcept;

/// Returns whether an entry daemon may refuse the request because its home asks to hold back. Steps of an
/// open transaction hold a connection, and a question for an outcome ends an uncertainty; both go through.
[[nodiscard]] bool may_be_throttled(const base::request& request) noexcept;

} // namespace proxy
