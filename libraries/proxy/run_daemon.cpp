#include <proxy/run_daemon.hpp>

#include <base/event.hpp>
#include <proxy/events.hpp>
#include <proxy/run_first_come_first_served.hpp>
#include <proxy/run_ranked.hpp>

#include <random>
#include <string>
#include <utility>

namespace proxy {

namespace {

constexpr int exit_complete = 0;
constexpr int exit_work_cut = 1;
constexpr int exit_not_started = 2;

int report_failed_start(const base::error& reason) {
    base::log_event(events::start_failed, {{"reason", reason.to_string()}});
    base::flush_log();
    return exit_not_started;
}

// Hosts store no state, so only a random number distinguishes a run from the runs before it.
std::string make_run_id(const std::string& daemon) {
    std::random_device random;
    return daemon + "/" + std::to_string(random()) + std::to_string(random());
}

} // namespace

int run_daemon(const operators::daemon_settings& settings, queue_order order) {
    auto control = control_plane::open(settings);
    if (!control) {
        return report_failed_start(control.last_reason());
    }
    auto run_id = make_run_id(settings->name_);
    const auto finished = order == queue_order::ranked
                              ? run_ranked(settings, std::move(run_id), *std::move(control))
                              : run_first_come_first_served(settings, std::move(run_id), *std::move(control));
    if (!finished) {
        return report_failed_start(finished.last_reason());
    }
    base::flush_log();
    return *finished ? exit_complete : exit_work_cut;
}

} // namespace proxy
