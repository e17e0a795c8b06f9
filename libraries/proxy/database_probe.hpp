#pragma once

#include <base/clock.hpp>
#include <base/endpoint.hpp>
#include <daemons/suspicion_check.hpp>

#include <boost/asio/awaitable.hpp>

#include <string>

namespace proxy {

/// Probes a database for another daemon that suspects it: opens a new connection and requests the database's
/// status. `prober` is the name of the probing daemon. Thread safety: any thread that runs coroutines.
[[nodiscard]] boost::asio::awaitable<daemons::reachability> probe_database(base::endpoint database,
                                                                           std::string prober);

} // namespace proxy
