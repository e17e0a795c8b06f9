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

/// Sends the throttle notices of a group's owner to the entry daemons. Must not suspend.
template <typename Announcer>
concept throttle_announcer = requires(Announcer& announcer,
                                      std::span<const daemons::throttle_notice> notices) {
    { announcer(notices) } -> std::same_as<void>;
};

/// Decides at the owner of a group which percentage of the requests for one queue the entry daemons admit.
/// Returns one notice for each rank of the declaration. `role` selects the queue.
///
/// All requests are admitted while the expected wait is at most half of the rank's deadline. Above that the
/// percentage falls linearly, to 0 at the full deadline. A notice expires before half of the rank's backlog
/// is processed, so that the rank's share of the slots stays in use. Called about every 100 ms; a notice that
/// admits everything needs to be sent only after one that did not.
[[nodiscard]] std::vector<daemons::throttle_notice>
decide_throttling(const operators::service_declaration& declaration, base::database_role role,
                  const backends::queue_load& load);

/// Returns the notices of `present` that have to be sent: those that throttle, and those that end a throttle
/// of `previous`. Precondition: both are empty or of the same ranks and roles in the same order.
[[nodiscard]] std::vector<daemons::throttle_notice>
select_notices(std::span<const daemons::throttle_notice> previous,
               std::span<const daemons::throttle_notice> present);

/// Returns the role whose queue a request would wait in at the owner of its group.
[[nodiscard]] base::database_role needed_role(const routed_request& routed) noexcept;

/// Returns whether an entry daemon may refuse the request because of a throttle notice. Not refused are steps
/// of an open transaction, because it holds a connection, and outcome requests, because they resolve an
/// unknown outcome.
[[nodiscard]] bool may_be_throttled(const base::request& request) noexcept;

} // namespace proxy
