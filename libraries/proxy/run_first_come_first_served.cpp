#include <proxy/run_first_come_first_served.hpp>

#include <backends/first_come_first_served_queue.hpp>
#include <proxy/daemon.hpp>

#include <utility>

namespace proxy {

base::result<bool> run_first_come_first_served(const operators::daemon_settings& settings, std::string run_id,
                                               std::unique_ptr<control_plane> control) {
    daemon<backends::first_come_first_served_queue> instance{settings, std::move(run_id), std::move(control)};
    if (auto failed = instance.listen()) {
        return *std::move(failed);
    }
    return instance.run();
}

} // namespace proxy
