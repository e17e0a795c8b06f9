#pragma once

#include <base/clock.hpp>
#include <base/endpoint.hpp>
#include <base/immutable.hpp>
#include <operators/problem.hpp>

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace operators {

/// The settings of one session daemon, from its INI file.
struct session_settings_fields {
    std::string name_;
    std::string failure_domain_;
    std::uint32_t threads_ = 1;
    std::string log_level_ = "info";
    base::endpoint client_address_;
    base::endpoint readiness_address_;
    base::endpoint peer_address_;
    base::endpoint metrics_address_;
    base::endpoint store_address_;
    base::endpoint promotion_address_;
    /// Time from SIGTERM until the process is killed.
    base::clock::duration grace_{6'000};
    /// How long a database may still be used after it started leaving or its entry was removed.
    base::clock::duration leaving_{7'000};
    /// How exactly the limits of tenants have to be kept: in any window, at most (rate x window + burst) x
    /// (1 + over) + slack operations of a tenant.
    base::clock::duration quota_window_{5'000};
    double quota_over_ = 0.1;
    double quota_slack_ = 20;

    /// Memory that the process may use.
    std::uint64_t memory_bytes_ = default_memory_bytes;
    /// File descriptors that the process may use; 0 stands for the limit of the operating system.
    std::uint64_t max_descriptors_ = 0;
    /// How long a new connection may take to send its start message.
    base::clock::duration start_timeout_{3'000};
    /// How long a client may take to send the rest of a line.
    base::clock::duration line_timeout_{15'000};
    /// How long a client may read nothing of a waiting response.
    base::clock::duration response_timeout_{15'000};

    static constexpr std::uint64_t bytes_per_mb = 1'000'000;
    /// The memory of the smallest hosts.
    static constexpr std::uint64_t default_memory_bytes = 160 * bytes_per_mb;

    friend auto operator<=>(const session_settings_fields&, const session_settings_fields&) = default;
    friend bool operator==(const session_settings_fields&, const session_settings_fields&) = default;
};

using session_settings = base::immutable<session_settings_fields>;

/// Parses the settings in the text of an INI file. `file` is the file name in reported problems.
[[nodiscard]] checked<session_settings> read_session_settings(std::string_view text, std::string file);

/// Reads settings from a file. An unreadable file is reported as a problem.
[[nodiscard]] checked<session_settings> load_session_settings(const std::string& path);

} // namespace operators
