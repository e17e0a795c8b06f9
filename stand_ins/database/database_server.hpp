#pragma once

#include <http/message.hpp>
#include <http/wait_signal.hpp>
#include <stand_ins/database/control_request.hpp>
#include <stand_ins/database/database_counts.hpp>
#include <stand_ins/database/database_node.hpp>
#include <stand_ins/database/database_request.hpp>
#include <stand_ins/database/transaction.hpp>

#include <boost/asio/awaitable.hpp>

#include <map>
#include <memory>
#include <optional>
#include <string>

namespace stand_ins::database {

/// Serves the database interface and the control paths on top of a node.
/// Thread safety: used by the thread of the node.
class database_server {
public:
    explicit database_server(std::shared_ptr<database_node> node) : node_{std::move(node)} {}

    /// Answers one request. Throws when the connection has to be closed without an answer.
    [[nodiscard]] boost::asio::awaitable<http::response> answer(http::request message,
                                                                std::size_t connection);

    /// Rolls back the transaction of a connection that has ended.
    void forget(std::size_t connection);

private:
    /// What belongs to one connection.
    struct connection_record {
        bool is_greeted_ = false;
        bool is_counted_ = false;
        std::optional<transaction> transaction_;
    };
    class slot_holder;

    [[nodiscard]] boost::asio::awaitable<http::response> answer_peer(http::request message,
                                                                     std::size_t connection);
    [[nodiscard]] http::response answer_control(const http::request& message, std::size_t connection);
    [[nodiscard]] http::response run_control(std::string_view path, const control_request& request,
                                             std::size_t connection);
    void silence_connections(std::size_t newest);

    [[nodiscard]] http::response answer_push(const http::request& message);

    [[nodiscard]] boost::asio::awaitable<void> greet(std::size_t connection);
    void count_connection(std::size_t connection);
    void count_response(const database_response& answer, std::size_t statements);

    [[nodiscard]] boost::asio::awaitable<std::string> route(std::string path, database_request request,
                                                            std::size_t connection);
    [[nodiscard]] boost::asio::awaitable<std::string> answer_status(database_request request);
    [[nodiscard]] std::string answer_raise(const database_request& request);
    [[nodiscard]] std::string answer_promote(const database_request& request);

    [[nodiscard]] boost::asio::awaitable<database_response>
    run_work(std::string path, database_request request, std::size_t connection);
    [[nodiscard]] database_response decide_work(const std::string& path, const database_request& request,
                                                std::size_t connection);
    [[nodiscard]] database_response begin(const database_request& request, connection_record& record);
    [[nodiscard]] database_response step(const database_request& request, connection_record& record);
    [[nodiscard]] database_response finish(const database_request& request, connection_record& record);
    [[nodiscard]] database_response roll_back(const database_request& request, connection_record& record);
    [[nodiscard]] std::optional<refusal_reason> check_new_work(const std::string& path);
    [[nodiscard]] boost::asio::awaitable<bool> wait_for_slot();

    std::shared_ptr<database_node> node_;
    std::map<std::size_t, connection_record> connections_;
    std::size_t newest_connection_ = 0;
    database_counts counts_;
    http::wait_signal slot_freed_;
};

} // namespace stand_ins::database
