#include <utilities/sassafras_soak/daemon_process.hpp>

#include <array>
#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

// The environment of this process, which its daemons inherit.
extern char** environ; // NOLINT(readability-redundant-declaration)

namespace soak {

namespace {

constexpr int readable_file = 0644;

std::string local(std::uint16_t port) {
    return "127.0.0.1:" + std::to_string(port);
}

} // namespace

daemon_process::daemon_process(std::string program, std::string folder, daemon_addresses addresses)
    : program_{std::move(program)}, folder_{std::move(folder)}, addresses_{std::move(addresses)} {
    write_settings();
}

daemon_process::~daemon_process() {
    if (process_ > 0) {
        ::kill(process_, SIGCONT);
        ::kill(process_, SIGKILL);
        ::waitpid(process_, nullptr, 0);
    }
}

void daemon_process::write_settings() const {
    std::ofstream settings{folder_ + "/" + addresses_.name_ + ".ini"};
    const auto section = [&settings](const char* name, std::uint16_t port) {
        settings << "[" << name << "]\naddress = " << local(port) << "\n";
    };
    settings << "[daemon]\nname = " << addresses_.name_ << "\nfailure_domain = a\nthreads = 2\n";
    section("clients", addresses_.clients_);
    section("readiness", addresses_.readiness_);
    section("peers", addresses_.peers_);
    section("metrics", addresses_.metrics_);
    section("store", addresses_.store_);
    section("promotion", addresses_.store_);
    settings << "[stop]\ngrace_s = 3\n";
}

bool daemon_process::keep_running() {
    if (process_ > 0) {
        int status = 0;
        if (::waitpid(process_, &status, WNOHANG) != process_) {
            return true;
        }
        note_end(status);
        process_ = 0;
    }
    const auto log = folder_ + "/" + addresses_.name_ + ".log";
    auto option = "--settings=" + folder_ + "/" + addresses_.name_ + ".ini";
    std::array<char*, 3> arguments{program_.data(), option.data(), nullptr};
    posix_spawn_file_actions_t actions{};
    ::posix_spawn_file_actions_init(&actions);
    ::posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(), O_WRONLY | O_CREAT | O_APPEND,
                                       readable_file);
    ::posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    // A listening socket of the stand-ins that the daemon inherits takes connections after a stand-in has
    // closed it.
    ::posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    const bool is_started =
        ::posix_spawn(&process_, program_.c_str(), &actions, nullptr, arguments.data(), environ) == 0;
    ::posix_spawn_file_actions_destroy(&actions);
    is_told_to_stop_ = false;
    return is_started;
}

void daemon_process::note_end(int status) {
    if (WIFSIGNALED(status)) {
        const bool is_ours = WTERMSIG(status) == SIGKILL || (WTERMSIG(status) == SIGTERM && is_told_to_stop_);
        if (!is_ours) {
            own_ends_.push_back("signal " + std::to_string(WTERMSIG(status)));
        }
        return;
    }
    const bool is_ours = is_told_to_stop_ && WEXITSTATUS(status) == 0;
    if (!is_ours) {
        own_ends_.push_back("code " + std::to_string(WEXITSTATUS(status)));
    }
}

void daemon_process::signal(int number) {
    if (process_ > 0) {
        is_told_to_stop_ = is_told_to_stop_ || number == SIGTERM;
        ::kill(process_, number);
    }
}

} // namespace soak
