#pragma once

#include <base/clock.hpp>
#include <base/endpoint.hpp>
#include <daemons/suspicion_check.hpp>

#include <boost/asio/awaitable.hpp>

namespace proxy {

/// Tries a database for another daemon that suspects it: connects afresh and asks for its status.
/// Thread safety: any thread that runs coroutines.
[[nodiscard]] boost::asio::awaitable<daemons::reachability> probe_database(base::endpoint database);

} // namespace proxy
