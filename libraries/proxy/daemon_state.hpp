#pragma once

#include <base/snapshot.hpp>
#include <daemons/member_list.hpp>
#include <operators/configuration.hpp>
#include <operators/daemon_settings.hpp>

#include <atomic>
#include <cstdint>
#include <string>
#include <utility>

namespace proxy {

/// Whether a daemon accepts new work.
enum class daemon_phase : std::uint8_t {
    /// The daemon has no configuration yet.
    starting,
    serving,
    /// The daemon finishes its work and accepts no new work that another daemon could do.
    draining,
};

/// State shared by the threads of one daemon. On the path of a request they use only the snapshots and
/// atomics. Thread safety: any thread; settings, run id and references are set before the first thread
/// starts.
class daemon_state {
public:
    /// `run_id` is unique among all runs of all daemons.
    daemon_state(operators::daemon_settings settings, std::string run_id,
                 const base::snapshot<operators::configuration>& configuration,
                 const base::snapshot<daemons::member_list>& members)
        : settings_{std::move(settings)}, run_id_{std::move(run_id)},
          configuration_{configuration}, members_{members} {}

    [[nodiscard]] const operators::daemon_settings& settings() const noexcept { return settings_; }
    [[nodiscard]] const std::string& run_id() const noexcept { return run_id_; }
    /// Returns the configuration in force.
    [[nodiscard]] const base::snapshot<operators::configuration>& configuration() const noexcept {
        return configuration_;
    }
    /// Returns the members of the fleet as this daemon knows them.
    [[nodiscard]] const base::snapshot<daemons::member_list>& members() const noexcept { return members_; }

    [[nodiscard]] daemon_phase phase() const noexcept { return phase_.load(std::memory_order_acquire); }
    void set_phase(daemon_phase phase) noexcept { phase_.store(phase, std::memory_order_release); }

    /// Returns the next request number, unique within this run.
    [[nodiscard]] std::uint64_t next_request_number() noexcept {
        return last_request_number_.fetch_add(1, std::memory_order_relaxed) + 1;
    }

private:
    operators::daemon_settings settings_;
    std::string run_id_;
    const base::snapshot<operators::configuration>& configuration_;
    const base::snapshot<daemons::member_list>& members_;
    std::atomic<daemon_phase> phase_{daemon_phase::starting};
    std::atomic<std::uint64_t> last_request_number_{0};
};

} // namespace proxy
