#pragma once

#include <base/clock.hpp>

#include <compare>
#include <cstddef>

namespace daemons {

/// Bounds on connections between daemons.
struct peer_limits {
    base::clock::duration connect_{1'000};
    /// A client with unanswered questions asks for a sign of life after this long without any.
    base::clock::duration busy_heartbeat_{500};
    /// The same without unanswered questions.
    base::clock::duration idle_heartbeat_{5'000};
    /// How long a heartbeat may stay unanswered before the connection counts as silent.
    base::clock::duration silence_{1'000};
    /// A client closes a connection that it has not used for this long.
    base::clock::duration unused_{60'000};
    /// A server closes a connection that has sent nothing for this long: three idle heartbeats.
    base::clock::duration server_idle_{15'000};
    /// Questions that a server works on for one connection; it refuses more.
    std::size_t most_in_flight_ = 1'024;
    /// Bytes that may wait to be written to one connection before further questions are refused.
    std::size_t most_queued_bytes_ = std::size_t{8} * 1024 * 1024;
    /// Pause after the first failed attempt to connect; it doubles with each further one.
    base::clock::duration first_reconnect_{100};
    base::clock::duration longest_reconnect_{2'000};

    friend auto operator<=>(const peer_limits&, const peer_limits&) = default;
};

} // namespace daemons
