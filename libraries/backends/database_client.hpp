#pragma once

#include <backends/database_connection.hpp>

#include <http/client_connection.hpp>

#include <cstdint>
#include <string>

namespace backends {

/// A `database_connection` over HTTP/1.1. Thread safety: used by the thread that connected it only.
class database_client {
public:
    /// Connects to a database. Each request names `caller`, the connecting daemon, unless it is empty.
    /// Errors: `timeout`, `connection_failed`; nothing was sent.
    [[nodiscard]] static boost::asio::awaitable<base::result<database_client>>
    connect(base::endpoint address, base::clock::duration timeout, std::string caller = {});

    /// Asks for the status. With `wait` the database may hold the answer back for `wait->time_`, which has to
    /// be less than `timeout`.
    [[nodiscard]] boost::asio::awaitable<base::result<database_status>>
    status(std::optional<status_wait> wait, base::clock::duration timeout);

    [[nodiscard]] boost::asio::awaitable<base::result<term_response>> raise(takeover_request request,
                                                                            base::clock::duration timeout);
    [[nodiscard]] boost::asio::awaitable<base::result<term_response>> promote(takeover_request request,
                                                                              base::clock::duration timeout);

    /// Sends statements on one of the statement paths. A transaction is bound to this connection.
    [[nodiscard]] boost::asio::awaitable<base::result<execute_response>>
    run(statement_path path, execute_request request, base::clock::duration timeout);

    [[nodiscard]] boost::asio::awaitable<base::result<settle_response>> settle(settle_request request,
                                                                               base::clock::duration timeout);

    /// Returns whether another request may be sent.
    [[nodiscard]] bool is_usable() const noexcept { return connection_.is_usable(); }

    /// Closes the socket, which ends a pending request and rolls back an open transaction.
    void close() noexcept { connection_.close(); }

private:
    database_client(http::client_connection connection, std::string caller)
        : connection_{std::move(connection)}, caller_{std::move(caller)} {}

    // Returns the body of the answer. Errors: as the class's.
    [[nodiscard]] boost::asio::awaitable<base::result<std::string>> post(std::string path, std::string body,
                                                                         base::clock::duration timeout);

    http::client_connection connection_;
    std::string caller_;
    std::uint64_t last_id_ = 0;
};

/// The `database_connector` of the daemon.
struct database_client_connector {
    using connection = database_client;

    /// Name of the connecting daemon, for databases that tell their callers apart.
    std::string caller_;

    [[nodiscard]] boost::asio::awaitable<base::result<database_client>>
    connect(base::endpoint address, base::clock::duration timeout) const {
        return database_client::connect(std::move(address), timeout, caller_);
    }
};

static_assert(database_connection<database_client>);
static_assert(database_connector<database_client_connector>);

} // namespace backends
