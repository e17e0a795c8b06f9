#pragma once

#include <base/endpoint.hpp>
#include <http/client_connection.hpp>
#include <stand_ins/database/database_node.hpp>
#include <stand_ins/database/replication.hpp>

#include <boost/asio/awaitable.hpp>

#include <memory>
#include <optional>

namespace stand_ins::database {

/// Pushes the log of a primary to one replica for as long as the process runs.
/// Thread safety: used by the thread of the node.
class replication_client {
public:
    replication_client(std::shared_ptr<database_node> node, base::endpoint peer)
        : node_{std::move(node)}, peer_{std::move(peer)} {}

    /// Runs until its executor stops. Precondition: the client outlives the coroutine.
    [[nodiscard]] boost::asio::awaitable<void> run();

private:
    [[nodiscard]] boost::asio::awaitable<void> push_once();
    [[nodiscard]] boost::asio::awaitable<std::optional<replication_response>> exchange(replication_push push);
    [[nodiscard]] boost::asio::awaitable<void> wait_for_entries();
    [[nodiscard]] bool has_entries_to_push() const;
    void follow_own_term();

    std::shared_ptr<database_node> node_;
    base::endpoint peer_;
    std::optional<http::client_connection> connection_;
    std::uint64_t term_ = 0;
    replication_progress progress_{1};
    /// Unknown until the replica has answered the first push of a term, which therefore carries no entries.
    std::optional<base::clock::duration> peer_lag_;
};

} // namespace stand_ins::database
