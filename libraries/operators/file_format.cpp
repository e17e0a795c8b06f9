#include <operators/file_format.hpp>

#include <array>

namespace operators {

namespace {

constexpr std::uint64_t max_path_bytes = 4096;
constexpr std::uint64_t day_ms = 24ULL * 60 * 60 * 1000;
constexpr std::uint64_t hour_ms = 60ULL * 60 * 1000;
constexpr std::uint64_t mebibyte = 1024ULL * 1024;

constexpr std::array daemon_keys{
    key_description{"name", value_type::name, necessity::required, "", 1, max_name_bytes,
                    "Name of the daemon, unique in the fleet."},
    key_description{"region", value_type::name, necessity::required, "", 1, max_name_bytes,
                    "Region of the host."},
    key_description{"failure_domain", value_type::name, necessity::required, "", 1, max_name_bytes,
                    "Failure domain of the host; homes and standbys are spread over failure domains."},
    key_description{"token_key", value_type::secret, necessity::required, "", 16, 1024,
                    "Secret shared by the fleet that signs session tokens."},
    key_description{"threads", value_type::number, necessity::optional, "2", 1, 256,
                    "Threads that serve requests."},
    key_description{"drain_deadline_ms", value_type::milliseconds, necessity::optional, "10000", 0, hour_ms,
                    "Time that requests in flight have to finish when the daemon is stopped."},
    key_description{"log_level", value_type::log_level, necessity::optional, "info", 0, 0,
                    "Least severity that is logged."},
};

constexpr std::array caller_keys{
    key_description{"address", value_type::address, necessity::required, "", 0, 0,
                    "Where callers connect (HTTP)."},
    key_description{"most_connections", value_type::number, necessity::optional, "10000", 1, 1'000'000,
                    "Caller connections that are open at the same time."},
    key_description{"body_bytes", value_type::bytes, necessity::optional, "1048576", 1024, 64 * mebibyte,
                    "Largest body of a request."},
    key_description{"header_bytes", value_type::bytes, necessity::optional, "16384", 1024, mebibyte,
                    "Largest header section of a request."},
    key_description{"tls_certificate", value_type::text, necessity::optional, "", 0, max_path_bytes,
                    "PEM file with the certificate chain; empty for plain TCP."},
    key_description{"tls_key", value_type::text, necessity::optional, "", 0, max_path_bytes,
                    "PEM file with the private key; set exactly when tls_certificate is set."},
};

constexpr std::array operator_keys{
    key_description{"address", value_type::address, necessity::required, "", 0, 0,
                    "Where operators connect (HTTP)."},
};

constexpr std::array peer_keys{
    key_description{"address", value_type::address, necessity::required, "", 0, 0,
                    "Where other daemons connect; TCP and UDP on the same port."},
    key_description{"seeds", value_type::address_list, necessity::optional, "", 0, 64,
                    "Peer addresses of some other daemons, from which the rest is learned."},
};

constexpr std::array platform_keys{
    key_description{"address", value_type::address, necessity::required, "", 0, 0,
                    "Where the platform's store and host list answer (HTTP)."},
};

constexpr std::array settings_sections{
    section_description{"daemon", section_form::single, necessity::required, value_type::name, daemon_keys,
                        "The daemon itself."},
    section_description{"callers", section_form::single, necessity::required, value_type::name, caller_keys,
                        "How callers reach the daemon."},
    section_description{"operators", section_form::single, necessity::required, value_type::name,
                        operator_keys, "How operators reach the daemon."},
    section_description{"peers", section_form::single, necessity::required, value_type::name, peer_keys,
                        "How other daemons reach the daemon."},
    section_description{"platform", section_form::single, necessity::required, value_type::name,
                        platform_keys, "How the daemon reaches the platform."},
};

constexpr std::array session_daemon_keys{
    key_description{"name", value_type::name, necessity::required, "", 1, max_name_bytes,
                    "Name of the daemon, unique in the fleet."},
    key_description{"failure_domain", value_type::name, necessity::required, "", 1, max_name_bytes,
                    "Failure domain of the host; databases there are preferred for reads."},
    key_description{"threads", value_type::number, necessity::optional, "1", 1, 256,
                    "Threads that serve clients; one for each core of the host."},
    key_description{"log_level", value_type::log_level, necessity::optional, "info", 0, 0,
                    "Least severity that is logged."},
};

constexpr std::array address_keys{
    key_description{"address", value_type::address, necessity::required, "", 0, 0, "IP address and port."},
};

constexpr std::array stop_keys{
    key_description{"grace_s", value_type::seconds, necessity::optional, "6", 1'000, hour_ms,
                    "Time from SIGTERM until the process is killed."},
};

constexpr std::array database_use_keys{
    key_description{"leaving_ms", value_type::milliseconds, necessity::optional, "7000", 1'000, hour_ms,
                    "How long a database may be used after it began to leave or its entry was removed."},
};

constexpr std::array quota_keys{
    key_description{"window_s", value_type::seconds, necessity::optional_or_empty, "5", 1'000, hour_ms,
                    "The span in which the operations of a tenant are counted."},
    key_description{"over", value_type::decimal, necessity::optional_or_empty, "0.1", 0, 10'000,
                    "By which part a tenant may exceed its limit in a span."},
    key_description{"slack", value_type::decimal, necessity::optional_or_empty, "20", 0, 1'000'000'000,
                    "By how many operations a tenant may exceed its limit in a span besides."},
};

// Without `memory_mb` and `max_fds` the limits of the smallest host and of the process apply.
constexpr std::array limit_keys{
    key_description{"memory_mb", value_type::number, necessity::optional, "", 0, 16'000'000,
                    "Memory that the process may use, in MB; empty or 0 stands for 160."},
    key_description{"max_fds", value_type::number, necessity::optional, "", 0, 1'000'000'000,
                    "File descriptors that the process may use; empty or 0 stands for the limit that the "
                    "operating system sets."},
    key_description{"start_timeout_ms", value_type::milliseconds, necessity::optional, "3000", 100, hour_ms,
                    "How long a new connection may take to send `START`, unless the configuration names "
                    "`header-timeout-ms`."},
    key_description{"line_timeout_ms", value_type::milliseconds, necessity::optional, "15000", 100, hour_ms,
                    "How long a client may take to send the rest of a line, unless the configuration names "
                    "`idle-timeout-ms`."},
    key_description{"response_timeout_ms", value_type::milliseconds, necessity::optional, "15000", 100,
                    hour_ms,
                    "How long a client may read nothing of a waiting response, unless the configuration "
                    "names `idle-timeout-ms`."},
};

constexpr std::array session_sections{
    section_description{"daemon", section_form::single, necessity::required, value_type::name,
                        session_daemon_keys, "The daemon itself."},
    section_description{"clients", section_form::single, necessity::required, value_type::name, address_keys,
                        "Where clients connect."},
    section_description{"readiness", section_form::single, necessity::required, value_type::name,
                        address_keys, "Where the platform asks whether the daemon takes new connections."},
    section_description{"peers", section_form::single, necessity::required, value_type::name, address_keys,
                        "Where other daemons send datagrams."},
    section_description{"metrics", section_form::single, necessity::required, value_type::name, address_keys,
                        "Where the metrics are served (HTTP)."},
    section_description{"store", section_form::single, necessity::required, value_type::name, address_keys,
                        "Where the platform's store answers (HTTP)."},
    section_description{"promotion", section_form::single, necessity::required, value_type::name,
                        address_keys, "Where the platform takes promotion orders (HTTP)."},
    section_description{"databases", section_form::single, necessity::optional, value_type::name,
                        database_use_keys, "How databases are used."},
    section_description{"stop", section_form::single, necessity::optional, value_type::name, stop_keys,
                        "How the daemon stops."},
    section_description{"quota", section_form::single, necessity::optional, value_type::name, quota_keys,
                        "How exactly the limits of tenants are kept."},
    section_description{"limits", section_form::single, necessity::optional, value_type::name, limit_keys,
                        "What the process and its clients may use."},
};

constexpr std::array service_keys{
    key_description{"name", value_type::name, necessity::required, "", 1, max_name_bytes,
                    "Name of the service and of its database group, unique in the configuration."},
    key_description{"region", value_type::name, necessity::required, "", 1, max_name_bytes,
                    "Region in which the group's primary should be."},
    key_description{"slots", value_type::number, necessity::optional, "2", 1, 10'000,
                    "Statements that one database runs at the same time."},
    key_description{"connections", value_type::number, necessity::optional, "16", 1, 100'000,
                    "Connections that one database accepts from the whole system; not fewer than slots."},
    key_description{"queue_items", value_type::number, necessity::optional, "10000", 1, 1'000'000,
                    "Requests that may wait at the home, over all ranks."},
    key_description{"queue_bytes", value_type::bytes, necessity::optional, "16777216", 1024, 1024 * mebibyte,
                    "Bytes of statements that may wait at the home, over all ranks."},
};

constexpr std::array database_keys{
    key_description{"address", value_type::address, necessity::required, "", 0, 0,
                    "Where the database answers; unique in the configuration."},
    key_description{"failure_domain", value_type::name, necessity::required, "", 1, max_name_bytes,
                    "Failure domain of the database's host."},
};

constexpr std::array rank_keys{
    key_description{"least_share_percent", value_type::percent, necessity::optional, "0", 0, 100,
                    "Share of the slots that the rank keeps during a flood of any other rank; the shares of "
                    "all ranks add up to 100 at most."},
    key_description{"weight", value_type::number, necessity::optional, "1", 1, 1000,
                    "Part of the slots that no least share claims, relative to the other ranks' weights."},
    key_description{"deadline_ms", value_type::milliseconds, necessity::optional, "2000", 1, hour_ms,
                    "Deadline of a request that names none."},
};

constexpr std::array read_class_keys{
    key_description{"staleness_ms", value_type::milliseconds, necessity::optional, "0", 0, day_ms,
                    "How old the data may be; 0 means that only fresh data will do."},
};

constexpr std::array tenant_keys{
    key_description{
        "most_in_flight", value_type::number, necessity::optional, "1000", 1, 1'000'000,
        "Requests of the tenant that may be queued or running at the home at the same time, for each rank."},
};

constexpr std::array declaration_sections{
    section_description{"service", section_form::single, necessity::required, value_type::name, service_keys,
                        "The service and its group."},
    section_description{"database", section_form::named, necessity::required, value_type::name, database_keys,
                        "One database of the group; three or more."},
    section_description{"rank", section_form::named, necessity::required, value_type::name, rank_keys,
                        "One rank of work; the file lists them from most to least urgent."},
    section_description{"read_class", section_form::named, necessity::required, value_type::name,
                        read_class_keys,
                        "One class of reads; the first one applies when a request names none."},
    section_description{"tenant", section_form::named, necessity::optional, value_type::text, tenant_keys,
                        "The limit of one tenant; `default` stands for every tenant without its own."},
};

constexpr file_format settings_format{settings_sections};
constexpr file_format session_format{session_sections};
constexpr file_format declaration_format{declaration_sections};

} // namespace

const file_format& daemon_settings_format() noexcept {
    return settings_format;
}

const file_format& session_settings_format() noexcept {
    return session_format;
}

const file_format& service_declaration_format() noexcept {
    return declaration_format;
}

std::string_view name_of(value_type type) noexcept {
    switch (type) {
    case value_type::name:
        return "name";
    case value_type::text:
        return "text";
    case value_type::secret:
        return "secret";
    case value_type::number:
        return "number";
    case value_type::milliseconds:
        return "milliseconds";
    case value_type::seconds:
        return "seconds";
    case value_type::decimal:
        return "decimal";
    case value_type::bytes:
        return "bytes";
    case value_type::percent:
        return "percent";
    case value_type::address:
        return "address:port";
    case value_type::address_list:
        return "list of address:port";
    case value_type::log_level:
        return "log level";
    }
    return "text";
}

} // namespace operators
