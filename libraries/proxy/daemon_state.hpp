#pragma once

#include <base/snapshot.hpp>
#include <daemons/member_list.hpp>
#include <operators/configuration.hpp>
#include <operators/daemon_settings.hpp>

#include <atomic>
#include <cstdint>
#include <string>

namespace proxy {

/// Whether a daemon takes new work.
enum class daemon_phase : std::uint8_t {
    /// It has no configuration yet.
    starting,
    serving,
    /// It finishes its work and takes none that another daemon could take.
    draining,
};

/// What the threads of one daemon share. Readers on the path of a request use the snapshots and atomics only.
struct daemon_state {
    explicit daemon_state(operators::daemon_settings settings, std::string run)
        : settings_{std::move(settings)}, run_{std::move(run)} {}

    /// Returns the next number for a request, unique in this run.
    [[nodiscard]] std::uint64_t next_request_number() noexcept {
        return last_request_number_.fetch_add(1, std::memory_order_relaxed) + 1;
    }

    const operators::daemon_settings settings_;
    /// Names this run of the daemon among all runs of all daemons.
    const std::string run_;
    base::snapshot<operators::configuration> configuration_{operators::configuration{}};
    base::snapshot<daemons::member_list> members_{daemons::member_list{}};
    std::atomic<daemon_phase> phase_{daemon_phase::starting};

private:
    std::atomic<std::uint64_t> last_request_number_{0};
};

} // namespace proxy
