#pragma once

#include <cstdint>
#include <string>
#include <sys/types.h>
#include <vector>

namespace soak {

/// Addresses of one daemon.
struct daemon_addresses {
    std::string name_;
    std::uint16_t clients_ = 0;
    std::uint16_t readiness_ = 0;
    std::uint16_t peers_ = 0;
    std::uint16_t metrics_ = 0;
    /// The link to the store.
    std::uint16_t store_ = 0;

    friend auto operator<=>(const daemon_addresses&, const daemon_addresses&) = default;
};

/// A session daemon as a process of its own, whose output goes to a file. It is started again after each end
/// until the object is destroyed, which ends it. Only this process's own children are signalled. Thread
/// safety: used by one thread.
class daemon_process {
public:
    daemon_process(std::string program, std::string folder, daemon_addresses addresses);
    ~daemon_process();
    daemon_process(const daemon_process&) = delete;
    daemon_process& operator=(const daemon_process&) = delete;
    daemon_process(daemon_process&&) = delete;
    daemon_process& operator=(daemon_process&&) = delete;

    /// Starts the process if it does not run. Returns false when it cannot be started.
    [[nodiscard]] bool keep_running();
    void signal(int number);
    /// Returns how the process ended by itself, an entry for each time: neither by a signal that was sent to
    /// it, nor with code 0 after a SIGTERM. A SIGTERM also ends a process that has just started and does not
    /// wait for it yet.
    [[nodiscard]] const std::vector<std::string>& own_ends() const noexcept { return own_ends_; }
    [[nodiscard]] const daemon_addresses& addresses() const noexcept { return addresses_; }

private:
    void write_settings() const;
    void note_end(int status);

    std::string program_;
    std::string folder_;
    daemon_addresses addresses_;
    pid_t process_ = 0;
    bool is_told_to_stop_ = false;
    std::vector<std::string> own_ends_;
};

} // namespace soak
