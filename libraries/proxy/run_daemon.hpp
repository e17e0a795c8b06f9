#pragma once

#include <operators/daemon_settings.hpp>

#include <cstdint>

namespace proxy {

/// The order in which homes serve requests.
enum class queue_order : std::uint8_t {
    /// By rank with least shares; the order of production.
    ranked,
    /// The baseline of measurements.
    first_come_first_served,
};

/// Runs a daemon until SIGTERM or SIGINT has drained it. Returns the exit code: 0 after a complete drain, 1
/// when work was cut off, 2 when it could not start. Precondition: logging is set up; no other thread runs.
[[nodiscard]] int run_daemon(const operators::daemon_settings& settings, queue_order order);

} // namespace proxy
