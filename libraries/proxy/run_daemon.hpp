#pragma once

#include <operators/daemon_settings.hpp>

#include <cstdint>

namespace proxy {

/// The order in which the owner of a group serves its requests.
enum class queue_order : std::uint8_t {
    /// By rank, with a minimum share of the slots for each rank; used in production.
    ranked,
    /// By arrival; used only as the baseline of measurements.
    first_come_first_served,
};

/// Runs a daemon until it is drained, which SIGTERM, SIGINT or an operator starts. Returns the exit code: 0
/// after a complete drain, 1 if unfinished work was cut off, 2 if the daemon could not start. Precondition:
/// logging is set up; no other thread runs.
[[nodiscard]] int run_daemon(const operators::daemon_settings& settings, queue_order order);

} // namespace proxy
