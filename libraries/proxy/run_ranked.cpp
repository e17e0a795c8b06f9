#include <proxy/run_ranked.hpp>

#include <backends/admission_queue.hpp>
#include <proxy/daemon.hpp>

#include <utility>

namespace proxy {

base::result<bool> run_ranked(const operators::daemon_settings& settings, std::string run,
                              std::unique_ptr<control_plane> control) {
    daemon<backends::admission_queue> built{settings, std::move(run), std::move(control)};
    if (auto failed = built.listen()) {
        return *std::move(failed);
    }
    return built.run();
}

} // namespace proxy
