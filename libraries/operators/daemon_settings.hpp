#pragma once

#include <base/clock.hpp>
#include <base/endpoint.hpp>
#include <base/immutable.hpp>

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace operators {

/// The settings of one daemon, from its INI file.
struct daemon_settings_fields {
    /// Unique in the fleet.
    std::string name_;
    std::string region_;
    std::string failure_domain_;
    /// Listen address for callers (HTTP).
    base::endpoint caller_address_;
    /// Listen address for operators (HTTP).
    base::endpoint operator_address_;
    /// Listen address for other daemons; TCP and UDP on the same port.
    base::endpoint peer_address_;
    /// Peer addresses of some other daemons, from which all others are discovered.
    std::vector<base::endpoint> seeds_;
    base::endpoint platform_address_;
    /// Secret that all daemons share to sign session tokens; at least 16 characters.
    std::string token_key_;
    std::uint32_t threads_ = 2;
    base::clock::duration drain_deadline_{10'000};
    std::uint32_t most_connections_ = 10'000;
    std::uint64_t body_bytes_ = std::uint64_t{1024} * 1024;
    std::uint32_t header_bytes_ = 16 * 1024;
    /// Paths of PEM files; both empty for plain TCP.
    std::string tls_certificate_;
    std::string tls_key_;
    std::string log_level_ = "info";

    friend auto operator<=>(const daemon_settings_fields&, const daemon_settings_fields&) = default;
    friend bool operator==(const daemon_settings_fields&, const daemon_settings_fields&) = default;
};

using daemon_settings = base::immutable<daemon_settings_fields>;

} // namespace operators
