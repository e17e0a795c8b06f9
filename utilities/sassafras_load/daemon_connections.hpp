#pragma once

#include <base/endpoint.hpp>
#include <http/client_connection.hpp>
#include <utilities/sassafras_load/caller_response.hpp>

#include <boost/asio/awaitable.hpp>

#include <cstddef>
#include <optional>
#include <vector>

namespace sassafras_load {

/// The connections of one thread to the callers' ports of daemons. Thread safety: used by one thread.
class daemon_connections {
public:
    explicit daemon_connections(std::vector<base::endpoint> daemons);

    /// Sends a request to the daemon that `preference` selects, or to the next one that accepts a connection,
    /// as a balancer does. Without any the answer is `not_run`; after a lost answer it is `unknown`.
    [[nodiscard]] boost::asio::awaitable<caller_response> ask(std::size_t preference, http::request message,
                                                              base::clock::duration timeout);

private:
    [[nodiscard]] boost::asio::awaitable<std::optional<http::client_connection>> open(std::size_t daemon);

    std::vector<base::endpoint> daemons_;
    /// Usable connections by daemon.
    std::vector<std::vector<http::client_connection>> idle_;
};

} // namespace sassafras_load
