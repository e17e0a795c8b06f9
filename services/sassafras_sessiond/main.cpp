#include <adapter/platform_adapter.hpp>
#include <base/event.hpp>
#include <operators/session_settings.hpp>
#include <proxy/session_daemon.hpp>

#include <gflags/gflags.h>

#include <malloc.h>

#include <cstdlib>
#include <iostream>
#include <string>

DEFINE_string(settings, "", "INI file with the settings; without it, the path in SASSAFRASDEAL_SETTINGS");
DEFINE_bool(check, false, "only check the settings");

namespace {

constexpr int exit_complete = 0;
constexpr int exit_invalid_settings = 2;

/// Makes the allocator return the memory of large messages to the system. By default it raises the size from
/// which it does so with each large message, and each thread keeps a heap of its own.
void limit_allocator() {
    constexpr int mapped_bytes = 64 * 1024;
    constexpr int kept_bytes = 1024 * 1024;
    constexpr int heaps = 2;
    ::mallopt(M_MMAP_THRESHOLD, mapped_bytes);
    ::mallopt(M_TRIM_THRESHOLD, kept_bytes);
    ::mallopt(M_ARENA_MAX, heaps);
}

std::string settings_path() {
    if (!FLAGS_settings.empty()) {
        return FLAGS_settings;
    }
    const char* path = std::getenv("SASSAFRASDEAL_SETTINGS");
    return path == nullptr ? std::string{} : std::string{path};
}

} // namespace

int main(int argc, char** argv) {
    limit_allocator();
    gflags::SetUsageMessage(
        "Serves client sessions before replicated databases: sassafras_sessiond --settings=FILE");
    gflags::SetVersionString(SASSAFRASDEAL_VERSION);
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const auto path = settings_path();
    if (path.empty()) {
        std::cerr << "sassafras_sessiond: no settings; give --settings=FILE or set SASSAFRASDEAL_SETTINGS\n";
        return exit_invalid_settings;
    }
    const auto settings = operators::load_session_settings(path);
    if (!settings.value_) {
        for (const auto& problem : settings.problems_) {
            std::cerr << to_string(problem) << '\n';
        }
        return exit_invalid_settings;
    }
    if (FLAGS_check) {
        std::cout << path << ": no problems\n";
        return exit_complete;
    }
    base::start_logging((*settings.value_)->log_level_);
    proxy::session_daemon<adapter::platform_adapter> daemon{*settings.value_, path};
    if (const auto failure = daemon.run()) {
        base::flush_log();
        std::cerr << "sassafras_sessiond: " << failure->to_string() << '\n';
        return exit_invalid_settings;
    }
    base::flush_log();
    // The sockets of clients that are still connected are closed by the end of the process.
    std::_Exit(exit_complete);
}
