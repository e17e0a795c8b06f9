#pragma once

#include <base/clock.hpp>

#include <compare>
#include <cstddef>

namespace daemons {

/// Timeouts and limits of connections between daemons.
struct peer_limits {
    base::clock::duration connect_timeout_{1'000};
    /// A client with pending requests sends a heartbeat after this long without receiving anything.
    base::clock::duration busy_heartbeat_interval_{500};
    /// The same without pending requests.
    base::clock::duration idle_heartbeat_interval_{5'000};
    /// A client closes a connection that receives nothing for this long after a heartbeat.
    base::clock::duration heartbeat_timeout_{1'000};
    /// A client closes a connection that carried no request for this long.
    base::clock::duration unused_timeout_{60'000};
    /// A server closes a connection on which it received nothing for this long: three idle heartbeat
    /// intervals.
    base::clock::duration server_idle_timeout_{15'000};
    /// Maximum number of requests in flight on one connection; further ones are refused.
    std::size_t max_in_flight_ = 1'024;
    /// Maximum number of bytes that wait to be written to one connection before further requests are refused.
    std::size_t max_queued_bytes_ = std::size_t{8} * 1024 * 1024;
    /// Delay after the first failed attempt to connect; it doubles with each further one.
    base::clock::duration initial_reconnect_delay_{100};
    base::clock::duration max_reconnect_delay_{2'000};

    friend auto operator<=>(const peer_limits&, const peer_limits&) = default;
};

} // namespace daemons
