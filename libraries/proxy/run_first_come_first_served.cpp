#include <proxy/run_first_come_first_served.hpp>

#include <backends/first_come_first_served_queue.hpp>
#include <proxy/daemon.hpp>

#include <utility>

namespace proxy {

base::result<bool> run_first_come_first_served(const operators::daemon_settings& settings, std::string run,
                                               std::unique_ptr<control_plane> control) {
    daemon<backends::first_come_first_served_queue> built{settings, std::move(run), std::move(control)};
    if (auto failed = built.listen()) {
        return *std::move(failed);
    }
    return built.run();
}

} // namespace proxy
