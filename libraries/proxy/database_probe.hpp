#pragma once

#include <base/clock.hpp>
#include <base/endpoint.hpp>
#include <daemons/suspicion_check.hpp>

#include <boost/asio/awaitable.hpp>

#include <string>

namespace proxy {

/// Tries a database for another daemon that suspects it: connects afresh and asks for its status.
/// `prober` is the name of the daemon that tries.
/// Thread safety: any thread that runs coroutines.
[[nodiscard]] boost::asio::awaitable<daemons::reachability> probe_database(base::endpoint database,
                                                                           std::string prober);

} // namespace proxy
