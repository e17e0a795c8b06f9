#pragma once

#include <backends/database_messages.hpp>
#include <backends/database_status.hpp>
#include <backends/takeover.hpp>

#include <base/clock.hpp>
#include <base/endpoint.hpp>
#include <base/result.hpp>

#include <boost/asio/awaitable.hpp>

#include <concepts>
#include <optional>

namespace backends {

/// A connection to one database that carries one request at a time.
///
/// Errors of every request: `timeout`, `connection_failed`, `backend_unavailable`. After an error the request
/// may have run and the connection is no longer usable, so that a late answer can never be taken for the
/// answer to another request.
template <typename Connection>
concept database_connection = requires(Connection& connection, const std::optional<status_wait>& wait,
                                       const takeover_request& step, const execute_request& statements,
                                       const settle_request& settle, statement_path path,
                                       base::clock::duration timeout) {
    {
        connection.status(wait, timeout)
        } -> std::same_as<boost::asio::awaitable<base::result<database_status>>>;
    { connection.raise(step, timeout) } -> std::same_as<boost::asio::awaitable<base::result<term_response>>>;
    {
        connection.promote(step, timeout)
        } -> std::same_as<boost::asio::awaitable<base::result<term_response>>>;
    {
        connection.run(path, statements, timeout)
        } -> std::same_as<boost::asio::awaitable<base::result<execute_response>>>;
    {
        connection.settle(settle, timeout)
        } -> std::same_as<boost::asio::awaitable<base::result<settle_response>>>;
    { connection.is_usable() } -> std::same_as<bool>;
    {connection.close()};
};

/// Opens connections to databases. Errors: `timeout`, `connection_failed`; nothing was sent.
template <typename Connector>
concept database_connector = requires(const Connector& connector, const base::endpoint& address,
                                      base::clock::duration timeout) {
    typename Connector::connection;
    requires database_connection<typename Connector::connection>;
    {
        connector.connect(address, timeout)
        } -> std::same_as<boost::asio::awaitable<base::result<typename Connector::connection>>>;
};

} // namespace backends
